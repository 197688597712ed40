package yuccamesh

import (
	"expvar"

	"google.golang.org/protobuf/proto"

	"github.com/yuccaturn/yuccaturn/yuccametric"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// traffic counts the messages and bytes of the mesh by type.
type traffic struct {
	sent, received map[string]*counter
}

// counter holds the metrics of one type of message in one direction.
type counter struct{ messages, bytes *expvar.Int }

// messageTypes are the names of the types in metrics.
var messageTypes = []string{"roster", "heartbeat", "beat", "orders", "withdraw", "worker_state", "ends", "inquiry", "inquiry_reply", "crash_report", "demand", "held_tasks", "ended_jobs", "link_request", "held_seen", "placements", "lost_placements", "runs_query", "runs_reply", "other"}

func newTraffic(metrics *yuccametric.Set) *traffic {
	t := &traffic{sent: make(map[string]*counter), received: make(map[string]*counter)}
	for _, name := range messageTypes {
		t.sent[name] = &counter{messages: metrics.Counter("mesh_sent_" + name), bytes: metrics.Counter("mesh_sent_bytes_" + name)}
		t.received[name] = &counter{messages: metrics.Counter("mesh_received_" + name), bytes: metrics.Counter("mesh_received_bytes_" + name)}
	}
	return t
}

func messageType(m *yuccawire.Envelope) string {
	switch m.GetBody().(type) {
	case *yuccawire.Envelope_Roster:
		return "roster"
	case *yuccawire.Envelope_Heartbeat:
		return "heartbeat"
	case *yuccawire.Envelope_Beat:
		return "beat"
	case *yuccawire.Envelope_Orders:
		return "orders"
	case *yuccawire.Envelope_Withdraw:
		return "withdraw"
	case *yuccawire.Envelope_WorkerState:
		return "worker_state"
	case *yuccawire.Envelope_Ends:
		return "ends"
	case *yuccawire.Envelope_Inquiry:
		return "inquiry"
	case *yuccawire.Envelope_InquiryReply:
		return "inquiry_reply"
	case *yuccawire.Envelope_CrashReport:
		return "crash_report"
	case *yuccawire.Envelope_Demand:
		return "demand"
	case *yuccawire.Envelope_HeldTasks:
		return "held_tasks"
	case *yuccawire.Envelope_EndedJobs:
		return "ended_jobs"
	case *yuccawire.Envelope_LinkRequest:
		return "link_request"
	case *yuccawire.Envelope_HeldSeen:
		return "held_seen"
	case *yuccawire.Envelope_Placements:
		return "placements"
	case *yuccawire.Envelope_LostPlacements:
		return "lost_placements"
	case *yuccawire.Envelope_RunsQuery:
		return "runs_query"
	case *yuccawire.Envelope_RunsReply:
		return "runs_reply"
	}
	return "other"
}

func (t *traffic) recordSent(m *yuccawire.Envelope) { t.sent[messageType(m)].record(m) }

func (t *traffic) recordReceived(m *yuccawire.Envelope) { t.received[messageType(m)].record(m) }

func (c *counter) record(m *yuccawire.Envelope) {
	c.messages.Add(1)
	c.bytes.Add(int64(proto.Size(m)))
}
