// Package yuccawire defines the messages exchanged by the processes of
// yuccaturn, and the interfaces of the transports that carry them.
//
// The messages are generated from wire.proto and must not be modified once sent.
// Two packages implement [Network]: yuccamux carries envelopes over TCP with
// yamux, and yuccamemnet carries them in memory, with simulated delays and
// partitions for tests.
//
// # Usage
//
// A server listens and answers the handshake of each link:
//
//	listener, err := network.Listen("127.0.0.1:7000")
//	link, err := listener.Accept()
//	peer, err := yuccawire.AcceptHello(ctx, link, self)
//
// A client dials the server and identifies itself:
//
//	link, err := network.Dial(ctx, "127.0.0.1:7000")
//	peer, err := yuccawire.SayHello(ctx, link, self)
//	err = link.Send(&yuccawire.Envelope{...})
package yuccawire
