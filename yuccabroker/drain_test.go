package yuccabroker_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccabroker"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

func TestSideDoesNotHearThatItsDataCentreIsDrained(t *testing.T) {
	f := newFixture(t, "s1", "s2")
	f.broker.HandleLinkUp(f.now, yuccabroker.Side{Name: "s3", Incarnation: 1, DataCentre: "lima"})
	told := func() (news []string) {
		for _, a := range f.broker.Actions() {
			if s, isSend := a.(yuccabroker.Send); isSend && s.Message.GetBeat().GetDrainedVersion() > 0 {
				news = append(news, fmt.Sprint(s.Side, " ", s.Message.GetBeat().GetDrainedVersion(), " ", s.Message.GetBeat().GetDrained()))
			}
		}
		return news
	}
	relink := func() {
		f.broker.HandleLinkDown(f.now, "s1")
		f.broker.HandleLinkUp(f.now, yuccabroker.Side{Name: "s1", Incarnation: 1, DataCentre: "puno"})
	}
	for _, step := range []struct {
		name   string
		handle func()
		want   []string
	}{
		{"relink before any change", relink, nil},
		{"drained", func() { f.broker.SetDrained(4, []string{"puno"}) }, []string{"s1 4 true", "s2 4 true", "s3 4 false"}},
		{"other section changed", func() { f.broker.SetDrained(4, []string{"puno"}) }, nil},
		{"relink", relink, []string{"s1 4 true"}},
		{"link lost", func() { f.broker.HandleLinkDown(f.now, "s2") }, nil},
		{"restored", func() { f.broker.SetDrained(5, nil) }, []string{"s1 5 false", "s3 5 false"}},
	} {
		step.handle()
		if news := told(); !slices.Equal(news, step.want) {
			t.Errorf("%s: the sides were told %q, want %q", step.name, news, step.want)
		}
	}
}

func TestOrdersGoToAndFroWithADrainedSide(t *testing.T) {
	f := newFixture(t, "s1")
	f.submit(job("a", 1), 1)
	for range 5 {
		for run := range f.sentRuns() {
			f.endRun("s1", "a.0.0.0", uint64(run[len(run)-1]-'0'), yuccawire.RunEnd_RUN_END_REFUSED, yuccawire.RunRefusal_RUN_REFUSAL_DRAINED)
		}
		f.advance(80*time.Millisecond, "s1")
	}
	if len(f.sentRuns()) != 1 {
		t.Errorf("a side that refuses all as drained got %d orders in 400ms, want 1", len(f.sentRuns()))
	}
}
