package yuccasized

import (
	"fmt"
	"io"
	"log/slog"
	"net/http"

	"github.com/yuccaturn/yuccaturn/yuccadriver"
	"github.com/yuccaturn/yuccaturn/yuccajsonc"
	"github.com/yuccaturn/yuccaturn/yuccaproblem"
	"github.com/yuccaturn/yuccaturn/yuccaworker"
)

// Registry serves the HTTP interface at which the worker of a side reports its
// state and announces that it leaves.
type Registry struct {
	driver *yuccadriver.Driver
	logger *slog.Logger
}

// NewRegistry returns the handler for the worker on this host. It passes the
// reports to the driver.
func NewRegistry(driver *yuccadriver.Driver, logger *slog.Logger) http.Handler {
	h := &Registry{driver: driver, logger: logger}
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/worker", h.report)
	mux.HandleFunc("DELETE /v1/worker/{id}", h.leave)
	return mux
}

func (h *Registry) report(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxReportBytes))
	if err != nil {
		h.refuse(w, bodyReadProblem(err))
		return
	}
	report, err := decodeReport(body)
	if err != nil {
		h.refuse(w, invalidBodyProblem(err))
		return
	}
	if _, err := h.driver.Report(r.Context(), report); err != nil {
		return
	}
	writeJSON(w, struct{}{})
}

func decodeReport(text []byte) (yuccaworker.Report, error) {
	var b reportBody
	d := yuccajsonc.Decode("report", text, &b)
	for field, value := range map[string]string{"id": b.ID, "service": b.Service} {
		if problem, expected := checkName(value); problem != "" {
			d.Report(field, problem, expected)
		}
	}
	if b.CPU == nil || *b.CPU < 0 || *b.CPU > yuccaworker.MaxCPUMilli/milli {
		problem := "is missing"
		if b.CPU != nil {
			problem = fmt.Sprintf("is %g", *b.CPU)
		}
		d.Report("cpu", problem, fmt.Sprintf("cores, 0 to %d", yuccaworker.MaxCPUMilli/milli))
		b.CPU = new(float64)
	}
	if b.RemainingMS != nil && *b.RemainingMS < 0 {
		d.Report("remaining_ms", fmt.Sprintf("is %d", *b.RemainingMS), "milliseconds, zero or more")
	}
	report := yuccaworker.Report{
		ID: b.ID, StartedAtMS: b.StartedAtMS, Service: b.Service, CPUMilli: int(*b.CPU*milli + rounding), MemoryMB: b.MemoryMB,
		Accelerators: b.Accelerators, Labels: b.Labels, Leaving: b.Leaving, Remaining: yuccaworker.RemainingTime(b.RemainingMS), ClockMS: b.ClockMS, Sequence: b.Sequence,
	}
	for _, fault := range report.Faults() {
		if field := reportFields[fault.Field]; field != "" {
			d.Report(field, fault.Problem, fault.Expected)
		}
	}
	return report, d.Err()
}

// reportFields are the names of the fields with bounds but those that checkName checks.
var reportFields = map[yuccaworker.Field]string{
	yuccaworker.FieldStartedAt: "born", yuccaworker.FieldCPU: "cpu", yuccaworker.FieldMemory: "memory_mb", yuccaworker.FieldAccelerators: "accelerators",
	yuccaworker.FieldLabels: "labels", yuccaworker.FieldClock: "clock_ms", yuccaworker.FieldSequence: "sequence",
}

func (h *Registry) leave(w http.ResponseWriter, r *http.Request) {
	if err := h.driver.Deregister(r.Context(), r.PathValue("id")); err != nil {
		return
	}
	writeJSON(w, struct{}{})
}

func (h *Registry) refuse(w http.ResponseWriter, p *yuccaproblem.Problem) {
	h.logger.Warn("worker report refused", "status", p.Status, "reason", p.Error())
	yuccaproblem.Write(w, p)
}
