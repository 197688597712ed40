package yuccacommand

import (
	"context"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccadocument"
	"github.com/yuccaturn/yuccaturn/yuccamesh"
	"github.com/yuccaturn/yuccaturn/yuccametric"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// The largest document that operators may send gets to an entry that is linked later.
func TestLargestDocumentClosesLinksAmongEntries(t *testing.T) {
	document := &yuccawire.Section{Name: yuccadocument.SectionWholeDocument, Version: 1, Body: make([]byte, 8<<20)}
	var seeds []string
	var meshes []*yuccamesh.Mesh
	for _, name := range []string{"e0", "e1"} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		_ = listener.Close()
		config := sizedConfig{
			name: name, mesh: listener.Addr().String(), seeds: func() []string { return seeds },
			metrics: yuccametric.New(name), logger: slog.New(slog.DiscardHandler),
		}
		seeds = append(seeds, config.mesh)
		options := yuccamesh.Options{Self: config.newNode(yuccawire.Role_ROLE_ENTRY), Listen: true}
		if name == "e0" {
			options.Sections = func() []*yuccawire.Section { return []*yuccawire.Section{document} }
		}
		meshes = append(meshes, config.newMesh(options))
	}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	for _, m := range meshes {
		go func() { _ = m.Serve(ctx) }()
	}
	for {
		select {
		case ev := <-meshes[1].Events():
			if received, ok := ev.(yuccamesh.ReceivedSections); ok && len(received.Sections[0].GetBody()) == len(document.GetBody()) {
				return
			}
		case <-meshes[0].Events():
		case <-ctx.Done():
			t.Fatal("the document has not arrived after 20 s")
		}
	}
}
