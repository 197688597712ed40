package yuccabroker_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/yuccaturn/yuccaturn/yuccabroker"
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
