// Package yuccastate is the state that the replicated log carries: the sections
// of the configuration with their history, the claims of jobs, and the fences of
// owners.
//
// Applying the same commands in the same order gives the same state at every
// replica. Results are returned to the replica that proposed the command.
//
// # Usage
//
//	state := yuccastate.New()
//	result := state.Apply(command)
//	section := state.Section("services")
//	text := state.Encode()
//	state, err := yuccastate.Decode(text)
package yuccastate
