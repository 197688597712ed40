package yuccabroker_test

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"github.com/yuccaturn/yuccaturn/yuccabroker"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

func TestLineOfALostRunDoesNotSayWhatItsEndRestsOn(t *testing.T) {
	var log bytes.Buffer
	f := newFixtureWith(t, func(o *yuccabroker.Options) { o.Logger = slog.New(slog.NewJSONHandler(&log, nil)) })
	f.broker.HandleLinkUp(f.now, yuccabroker.Side{Name: "s1", Incarnation: 1, DataCentre: "puno"})
	f.report("s1", fullCPU)
	f.submit(job("a", 1), 1)
	key := f.orders["s1"][0].GetJobs()[0].GetTasks()[0]
	f.broker.HandleEnds(f.now, "s1", &yuccawire.Ends{Ends: []*yuccawire.Ended{{
		Run: &yuccawire.RunKey{Task: key.GetTask(), Run: key.GetRun()}, End: yuccawire.RunEnd_RUN_END_CRASHED, Cause: "hold expired",
	}}})
	if want := `"level":"WARN","msg":"run did not succeed","end":"RUN_END_CRASHED","cause":"hold expired"`; !strings.Contains(log.String(), want) {
		t.Errorf("the log has no line with %s:\n%s", want, log.String())
	}
}
