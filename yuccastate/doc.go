// Package yuccastate implements the state machine of the replicated log: the
// sections of the configuration with their history, the claims of jobs, and the
// fences of owners.
//
// Commands are deterministic: replicas that apply the same commands in the same
// order have the same state. The replica that proposed a command uses its
// result.
//
// # Usage
//
//	state := yuccastate.New()
//	result := state.Apply(command)
//	section := state.Section("services")
//	data, err := state.Encode()
//	state, err := yuccastate.Decode(data)
package yuccastate
