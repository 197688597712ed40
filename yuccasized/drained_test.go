package yuccasized_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccadocument"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// setDrained tells an entry, and those linked with it, which data centres are drained.
func (s *system) setDrained(entry int, version uint64, dataCentres ...string) {
	s.edges[entry].ApplyRecovered([]*yuccawire.Section{{
		Name: yuccadocument.SectionDrainedDataCentres, Version: version, Body: yuccadocument.EncodeDrained(dataCentres),
	}})
	time.Sleep(100 * time.Millisecond)
}

func TestTaskThatWaitsAtASideStartsInADrainedDataCentre(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t)
		long := s.submit("long", `{"deadline": "20s", "payload": {"sleep": "7s"}, "steps": [{"tasks": 1, "cpu": 4, "estimate": "7s"}]}`)
		time.Sleep(400 * time.Millisecond)
		waiting := s.submit("waiting", `{"deadline": "20s", "payload": {"sleep": "1s"}, "steps": [{"tasks": 1, "cpu": 0.5, "estimate": "1s"}]}`)
		time.Sleep(400 * time.Millisecond)
		s.setDrained(0, 1, "puno")
		<-long.done
		time.Sleep(time.Second)
		if long.status != http.StatusOK || s.worker.Starts() != 1 {
			t.Errorf("the run in progress got %d %v, and %d runs started, want 200 and it alone", long.status, long.answer, s.worker.Starts())
		}
		s.setDrained(0, 2)
		<-waiting.done
		if waiting.status != http.StatusOK || s.worker.Starts() != 2 {
			t.Errorf("after the data centre was restored: response %d %v after %d starts, want 200 after 2", waiting.status, waiting.answer, s.worker.Starts())
		}
	})
}

func TestEntryThatIsCutOffStartsTasksInADrainedDataCentre(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t)
		s.fabric.Partition("e0", "e1")
		s.setDrained(1, 1, "puno")
		sub := s.submit("late", `{"deadline": "3s", "payload": {"sleep": "60ms"}, "steps": [{"tasks": 1, "cpu": 1, "estimate": "60ms"}]}`)
		<-sub.done
		if sub.status == http.StatusOK || s.worker.Starts() != 0 {
			t.Errorf("response %d %v after %d starts, want none", sub.status, sub.answer, s.worker.Starts())
		}
		s.setDrained(1, 2)
		again := s.submit("again", `{"deadline": "3s", "payload": {"sleep": "60ms"}, "steps": [{"tasks": 1, "cpu": 1, "estimate": "60ms"}]}`)
		<-again.done
		if again.status != http.StatusOK {
			t.Errorf("after the data centre was restored: response %d %v, want 200", again.status, again.answer)
		}
	})
}
