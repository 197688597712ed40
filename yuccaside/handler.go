package yuccaside

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccajsonc"
	"github.com/yuccaturn/yuccaturn/yuccaproblem"
	"github.com/yuccaturn/yuccaturn/yuccaquery"
)

const (
	maxAnnouncementBytes = 64 << 10
	statusTimeout        = 2 * time.Second
)

// announcementBody is the request body of PUT /v1/targets/{service}.
type announcementBody struct {
	Address     string `json:"address"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	Leaving     bool   `json:"leaving"`
}

// Handler returns the HTTP handler for the targets on this host, to be served on
// a loopback address.
func (s *Side) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/targets/{service}", s.putTarget)
	mux.HandleFunc("DELETE /v1/targets/{service}", s.deleteTarget)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	return mux
}

func (s *Side) putTarget(w http.ResponseWriter, r *http.Request) {
	content, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes))
	if err != nil {
		yuccaproblem.Write(w, yuccaproblem.NotRunf(http.StatusBadRequest, yuccaproblem.BadRequest, "body: %v", err))
		return
	}
	var body announcementBody
	if err := yuccajsonc.Decode("announcement", content, &body).Err(); err != nil {
		s.options.Logger.Warn("target announcement refused", "error", err)
		yuccaproblem.Write(w, yuccaproblem.NotRunf(http.StatusBadRequest, yuccaproblem.BadRequest, "%v", err))
		return
	}
	err = s.Announce(r.Context(), Announcement{
		Service: r.PathValue("service"), Address: body.Address,
		Slots: body.Slots, Connections: body.Connections, Leaving: body.Leaving,
	})
	switch {
	case errors.Is(err, ErrInvalidAnnouncement):
		s.options.Logger.Warn("target announcement refused", "error", err)
		yuccaproblem.Write(w, yuccaproblem.NotRunf(http.StatusBadRequest, yuccaproblem.BadRequest, "%v", err))
	case err != nil:
		yuccaproblem.Write(w, yuccaproblem.NotRunf(http.StatusServiceUnavailable, yuccaproblem.Draining, "%v", err))
	default:
		w.WriteHeader(http.StatusNoContent)
	}
}

func (s *Side) deleteTarget(w http.ResponseWriter, r *http.Request) {
	if err := s.Withdraw(r.Context(), r.PathValue("service")); err != nil {
		yuccaproblem.Write(w, yuccaproblem.NotRunf(http.StatusServiceUnavailable, yuccaproblem.Draining, "%v", err))
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// Status is the operational summary of a side, as GET /v1/status returns it.
type Status struct {
	Name              string         `json:"name"`
	LeaseMs           int64          `json:"lease_ms"`
	DataCentreDrained bool           `json:"data_centre_out"`
	Draining          bool           `json:"draining"`
	Running           int            `json:"running"`
	Owners            int            `json:"entries_linked"`
	Records           int            `json:"records"`
	RetainedBytes     int            `json:"kept_bytes"`
	Targets           []TargetStatus `json:"targets"`
}

// TargetStatus describes an announced target within a [Status].
type TargetStatus struct {
	Service string `json:"service"`
	Address string `json:"address"`
	Slots   int    `json:"slots"`
	Free    int    `json:"free"`
	Leaving bool   `json:"leaving"`
}

// OperatorHandler returns the HTTP handler for operators.
func (s *Side) OperatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/status", s.getStatus)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	return mux
}

func (s *Side) getStatus(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), statusTimeout)
	defer cancel()
	status, err := yuccaquery.Do(ctx, s.postQuery, func(s *Side) Status { return s.status(time.Now()) })
	if err != nil {
		yuccaproblem.Write(w, yuccaproblem.New(http.StatusServiceUnavailable, yuccaproblem.Draining, err.Error()))
		return
	}
	encoded, err := json.Marshal(status)
	if err != nil {
		yuccaproblem.Write(w, yuccaproblem.New(http.StatusInternalServerError, yuccaproblem.OutcomeUnknown, err.Error()))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(append(encoded, '\n'))
}

func (s *Side) status(now time.Time) Status {
	status := Status{
		Name:              s.options.Self.GetName(),
		LeaseMs:           max(s.gate.Lease().Expires().Sub(now), 0).Milliseconds(),
		DataCentreDrained: s.gate.View().IsDrained(s.options.Self.GetDataCentre()),
		Draining:          s.draining != nil,
		Running:           len(s.running),
		Owners:            len(s.owners),
		Records:           s.gate.RecordCount(),
		RetainedBytes:     s.gate.RetainedBytes(),
	}
	for name, t := range s.targets {
		status.Targets = append(status.Targets, TargetStatus{
			Service: name, Address: t.Address, Slots: t.Slots, Free: s.gate.FreeSlots(name), Leaving: t.Leaving,
		})
	}
	return status
}
