package yuccastate_test

import (
	"bytes"
	"fmt"
	"runtime"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/yuccaturn/yuccaturn/yuccadocument"
	"github.com/yuccaturn/yuccaturn/yuccastate"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

func apply(t *testing.T, s *yuccastate.State, c *yuccawire.Command) yuccastate.Result {
	t.Helper()
	text, err := proto.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	result, err := s.Apply(text)
	if err != nil {
		t.Fatal(err)
	}
	return result
}

func newClaim(owner string, nonce uint64) *yuccawire.Claim {
	return &yuccawire.Claim{
		Job: &yuccawire.JobKey{Team: "parishes", Id: "j"}, Digest: []byte("d"), Owner: owner, Incarnation: 1, Nonce: nonce,
	}
}

func applyClaim(t *testing.T, s *yuccastate.State, c *yuccawire.Claim) *yuccawire.ClaimReply {
	t.Helper()
	batch := &yuccawire.ClaimBatch{Claims: []*yuccawire.Claim{c}}
	return apply(t, s, &yuccawire.Command{Body: &yuccawire.Command_Claims{Claims: batch}}).Claims[0]
}

func applyFence(t *testing.T, s *yuccastate.State, owner string) {
	t.Helper()
	f := &yuccawire.FenceOwner{Owner: owner, Incarnation: 1}
	apply(t, s, &yuccawire.Command{Body: &yuccawire.Command_FenceOwner{FenceOwner: f}})
}

func expectResult(t *testing.T, r *yuccawire.ClaimReply, expected yuccawire.ClaimResult) {
	t.Helper()
	if r.GetResult() != expected {
		t.Errorf("the reply is %s, expected %s", r.GetResult(), expected)
	}
}

func TestClaimIsGrantedOnce(t *testing.T) {
	s := yuccastate.New()
	expectResult(t, applyClaim(t, s, newClaim("x", 1)), yuccawire.ClaimResult_CLAIM_GRANTED)
	expectResult(t, applyClaim(t, s, newClaim("x", 1)), yuccawire.ClaimResult_CLAIM_GRANTED)
	expectResult(t, applyClaim(t, s, newClaim("y", 1)), yuccawire.ClaimResult_CLAIM_HELD)
	expectResult(t, applyClaim(t, s, newClaim("x", 2)), yuccawire.ClaimResult_CLAIM_EXPIRED)
	other := newClaim("x", 1)
	other.Digest = []byte("other")
	expectResult(t, applyClaim(t, s, other), yuccawire.ClaimResult_CLAIM_CONFLICT)
}

func TestReplyCarriesClaimNonce(t *testing.T) {
	s := yuccastate.New()
	for nonce := range uint64(3) {
		if r := applyClaim(t, s, newClaim("x", nonce+1)); r.GetNonce() != nonce+1 {
			t.Errorf("the reply has nonce %d, expected %d", r.GetNonce(), nonce+1)
		}
	}
}

func TestTakeOverRequiresFence(t *testing.T) {
	s := yuccastate.New()
	applyClaim(t, s, newClaim("x", 1))
	c := newClaim("y", 7)
	c.TakeOver = true
	expectResult(t, applyClaim(t, s, c), yuccawire.ClaimResult_CLAIM_HELD)
	applyFence(t, s, "x")
	expectResult(t, applyClaim(t, s, c), yuccawire.ClaimResult_CLAIM_TAKEN)
	expectResult(t, applyClaim(t, s, newClaim("x", 1)), yuccawire.ClaimResult_CLAIM_HELD)
}

// A new owner that asks again, since the first answer was lost, must hear again
// that it took the job over: it may start nothing before it has gathered.
func TestRepeatedTakeOverStaysTaken(t *testing.T) {
	s := yuccastate.New()
	applyClaim(t, s, newClaim("x", 1))
	applyFence(t, s, "x")
	c := newClaim("y", 7)
	c.TakeOver = true
	applyClaim(t, s, c)
	expectResult(t, applyClaim(t, s, c), yuccawire.ClaimResult_CLAIM_TAKEN)
	restored := encodeAndDecode(t, s)
	expectResult(t, applyClaim(t, restored, c), yuccawire.ClaimResult_CLAIM_TAKEN)
}

func TestFailedJobIsNotTakenOver(t *testing.T) {
	s := yuccastate.New()
	applyClaim(t, s, newClaim("x", 1))
	failed := newClaim("x", 1)
	failed.Finished = true
	expectResult(t, applyClaim(t, s, failed), yuccawire.ClaimResult_CLAIM_GRANTED)
	applyFence(t, s, "x")
	c := newClaim("y", 7)
	c.TakeOver = true
	expectResult(t, applyClaim(t, s, c), yuccawire.ClaimResult_CLAIM_EXPIRED)
}

func TestFencedOwnerIsRefused(t *testing.T) {
	s := yuccastate.New()
	applyFence(t, s, "x")
	expectResult(t, applyClaim(t, s, newClaim("x", 1)), yuccawire.ClaimResult_CLAIM_REFUSED)
}

func encodeAndDecode(t *testing.T, s *yuccastate.State) *yuccastate.State {
	t.Helper()
	text, err := s.Encode()
	if err != nil {
		t.Fatal(err)
	}
	restored, err := yuccastate.Decode(text)
	if err != nil {
		t.Fatal(err)
	}
	reencoded, err := restored.Encode()
	if err != nil || !bytes.Equal(text, reencoded) {
		t.Errorf("the restored state differs: %v", err)
	}
	return restored
}

func sectionCommand(name string, base uint64, request, body string) *yuccawire.Command {
	a := &yuccawire.ApplySection{Section: name, BaseVersion: base, RequestId: request, Body: []byte(body)}
	return &yuccawire.Command{Body: &yuccawire.Command_ApplySection{ApplySection: a}}
}

func applyOutcome(t *testing.T, s *yuccastate.State, c *yuccawire.Command) yuccastate.Outcome {
	t.Helper()
	return apply(t, s, c).Change.Outcome
}

const dataCentres = `{"cusco": {"region": "sierra"}, "puno": {"region": "sierra"}}`

func TestSectionChangeOutcomes(t *testing.T) {
	s := yuccastate.New()
	for i, c := range []struct {
		command *yuccawire.Command
		outcome yuccastate.Outcome
	}{
		{sectionCommand(yuccadocument.SectionDataCentres, 0, "a", dataCentres), yuccastate.Accepted},
		{sectionCommand(yuccadocument.SectionDataCentres, 0, "a", dataCentres), yuccastate.Repeated},
		{sectionCommand(yuccadocument.SectionDataCentres, 0, "b", dataCentres), yuccastate.Conflict},
		{sectionCommand(yuccadocument.SectionDataCentres, 1, "a", `{}`), yuccastate.RequestReused},
		{sectionCommand(yuccadocument.SectionDataCentres, 1, "c", `{"cusco": 1}`), yuccastate.Invalid},
		{sectionCommand("colours", 0, "d", `{}`), yuccastate.Invalid},
		{sectionCommand(yuccadocument.SectionDataCentresOut, 0, "e", `{"out": []}`), yuccastate.Invalid},
		{sectionCommand(yuccadocument.SectionDataCentres, 1, "f", dataCentres), yuccastate.Accepted},
		{sectionCommand(yuccadocument.SectionDataCentres, 0, "a", dataCentres), yuccastate.Repeated},
	} {
		if got := applyOutcome(t, s, c.command); got != c.outcome {
			t.Errorf("change %d has outcome %d, expected %d", i, got, c.outcome)
		}
	}
	if v := s.Section(yuccadocument.SectionDataCentres).GetVersion(); v != 2 {
		t.Errorf("the version is %d, expected 2", v)
	}
	encodeAndDecode(t, s)
}

func TestDrainAndRestoreDataCentre(t *testing.T) {
	s := yuccastate.New()
	apply(t, s, sectionCommand(yuccadocument.SectionDataCentres, 0, "a", dataCentres))
	for i, name := range []string{"cusco", "puno", "lima"} {
		set := &yuccawire.SetDataCentre{DataCentre: name, Out: true, RequestId: fmt.Sprint(i)}
		apply(t, s, &yuccawire.Command{Body: &yuccawire.Command_SetDataCentre{SetDataCentre: set}})
	}
	if !s.IsDrained("cusco") || !s.IsDrained("puno") || s.IsDrained("lima") {
		t.Errorf("out are %v", s.DrainedDataCentres())
	}
	set := &yuccawire.SetDataCentre{DataCentre: "cusco", RequestId: "in"}
	apply(t, s, &yuccawire.Command{Body: &yuccawire.Command_SetDataCentre{SetDataCentre: set}})
	if restored := encodeAndDecode(t, s); restored.IsDrained("cusco") || !restored.IsDrained("puno") {
		t.Errorf("out are %v", restored.DrainedDataCentres())
	}
}

func TestOldClaimsExpire(t *testing.T) {
	s := yuccastate.New()
	for i := range 10 {
		c := newClaim("x", 1)
		c.Job = &yuccawire.JobKey{Team: "parishes", Id: fmt.Sprint(i)}
		batch := &yuccawire.ClaimBatch{Claims: []*yuccawire.Claim{c}, AtUnixMs: int64(1000 * i)}
		apply(t, s, &yuccawire.Command{Body: &yuccawire.Command_Claims{Claims: batch}})
	}
	expire := &yuccawire.ExpireJobs{NowUnixMs: 9000, KeptMs: 4000}
	result := apply(t, s, &yuccawire.Command{Body: &yuccawire.Command_ExpireJobs{ExpireJobs: expire}})
	if result.Expired != 5 || s.JobCount() != 5 {
		t.Errorf("%d claims were dropped and %d are left, expected 5 and 5", result.Expired, s.JobCount())
	}
}

// BenchmarkClaims applies claims in batches of 100 and reports the bytes of a
// claim in a snapshot.
func BenchmarkClaims(b *testing.B) {
	s := yuccastate.New()
	const perBatch = 100
	before := heapBytes()
	n := 0
	for b.Loop() {
		batch := &yuccawire.ClaimBatch{AtUnixMs: int64(n)}
		for range perBatch {
			n++
			batch.Claims = append(batch.Claims, &yuccawire.Claim{
				Job: &yuccawire.JobKey{Team: "parishes", Id: fmt.Sprintf("job-%d", n)}, Digest: make([]byte, 32), Owner: "entry-1", Incarnation: 1, Nonce: uint64(n),
			})
		}
		text, _ := proto.Marshal(&yuccawire.Command{Body: &yuccawire.Command_Claims{Claims: batch}})
		if _, err := s.Apply(text); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(heapBytes()-before)/float64(n), "heap-B/claim")
	text, _ := s.Encode()
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(n), "ns/claim")
	b.ReportMetric(float64(len(text))/float64(n), "snapshot-B/claim")
}

// heapBytes is what lives on the heap after a collection.
func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkSnapshot encodes the state with the claims of five minutes at 1,200
// jobs a second.
func BenchmarkSnapshot(b *testing.B) {
	const claims = 300 * 1200
	s := yuccastate.New()
	batch := &yuccawire.ClaimBatch{}
	for i := range claims {
		batch.Claims = append(batch.Claims, &yuccawire.Claim{
			Job: &yuccawire.JobKey{Team: "parishes", Id: fmt.Sprintf("job-%d", i)}, Digest: make([]byte, 32), Owner: "entry-1", Incarnation: 1, Nonce: uint64(i),
		})
	}
	text, _ := proto.Marshal(&yuccawire.Command{Body: &yuccawire.Command_Claims{Claims: batch}})
	if _, err := s.Apply(text); err != nil {
		b.Fatal(err)
	}
	size := 0
	for b.Loop() {
		text, err := s.Encode()
		if err != nil {
			b.Fatal(err)
		}
		size = len(text)
	}
	b.ReportMetric(float64(size), "B")
}
