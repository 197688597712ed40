// Package yuccawire defines the typed messages that the processes of yuccaturn
// exchange, and the small interface over which they travel.
//
// The messages are generated from wire.proto and are immutable once sent. Two
// packages implement [Network]: yuccamux carries envelopes over TCP with yamux,
// and yuccamem carries them in memory with delays and cuts, for tests.
//
// # Usage
//
// A process that serves others listens and answers the opening handshake:
//
//	listener, err := network.Listen("127.0.0.1:7000")
//	link, err := listener.Accept()
//	hello, err := yuccawire.AcceptHello(link, self)
//
// A process that calls another dials it and shows who it is:
//
//	link, err := network.Dial(ctx, "127.0.0.1:7000")
//	peer, err := yuccawire.SayHello(ctx, link, self)
//	err = link.Send(&yuccawire.Envelope{...})
package yuccawire
