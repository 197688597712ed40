package yuccasized

import (
	"net/http"
	"strings"

	"github.com/yuccaturn/yuccaturn/yuccamesh"
)

// linksBody is the response with the links of a process.
type linksBody struct {
	Links []linkBody `json:"links"`
}

// linkBody describes a link. Times are in milliseconds.
type linkBody struct {
	Peer       string `json:"peer"`
	Role       string `json:"role"`
	DataCentre string `json:"data_centre"`
	Dialled    bool   `json:"dialled"`
	Surplus    bool   `json:"surplus,omitempty"`
	SilentMS   int64  `json:"silent_ms"`
	// MaxSilentMS is the silence after which the link is closed.
	MaxSilentMS int64 `json:"max_silent_ms"`
}

// NewLinks returns the handler that lists the links of an entry or a side.
func NewLinks(links func() []yuccamesh.LinkStatus) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/links", func(w http.ResponseWriter, _ *http.Request) {
		body := linksBody{Links: []linkBody{}}
		for _, l := range links() {
			body.Links = append(body.Links, linkBody{
				Peer: l.Peer, Role: strings.ToLower(strings.TrimPrefix(l.Role.String(), "ROLE_")), DataCentre: l.DataCentre, Dialled: l.Dialled,
				Surplus: l.Surplus, SilentMS: l.Silent.Milliseconds(), MaxSilentMS: l.MaxSilent.Milliseconds(),
			})
		}
		writeJSON(w, body)
	})
	return mux
}
