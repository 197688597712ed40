package yuccasettings

import (
	"fmt"
	"net/url"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccajsonc"
)

// Target is the settings section of the simulated target.
type Target struct {
	// Service is the name of the service that the target provides.
	Service string `json:"service"`
	// Listen is the loopback listen address of the target.
	Listen string `json:"listen"`
	// Side is the URL at which the target registers with its side.
	Side string `json:"side"`
	// Slots is the number of tasks that the target runs concurrently.
	Slots int `json:"slots"`
	// Connections is the number of connections that the target accepts.
	Connections int `json:"connections"`
	// Journal is the file to which a JSON line is written for each start; empty
	// means none.
	Journal string `json:"journal"`
	// Sleep is the run time of a task.
	Sleep time.Duration `json:"sleep"`
	// Status is the HTTP status of the answers; zero means 200.
	Status int `json:"status"`
	// Hang leaves tasks unanswered, with their connections open.
	Hang bool `json:"hang"`
	// Drop closes the connections of tasks without an answer.
	Drop bool `json:"drop"`
}

func (t *Target) check(d *yuccajsonc.Document) {
	checkRequired(d, "target.service", t.Service, "the name of a service")
	checkAddress(d, "target.listen", t.Listen)
	if u, err := url.Parse(t.Side); err != nil || u.Scheme != "http" || u.Host == "" {
		d.Report("target.side", fmt.Sprintf("is %q", t.Side), "a URL such as http://127.0.0.1:7200")
	}
	if t.Slots < 1 {
		d.Report("target.slots", fmt.Sprintf("is %d", t.Slots), "1 or more")
	}
	if t.Connections < 1 {
		d.Report("target.connections", fmt.Sprintf("is %d", t.Connections), "1 or more")
	}
	if t.Status != 0 && (t.Status < 200 || t.Status > 599) {
		d.Report("target.status", fmt.Sprintf("is %d", t.Status), "200 to 599")
	}
}
