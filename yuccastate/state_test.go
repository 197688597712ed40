package yuccastate_test

import (
	"bytes"
	"fmt"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/yuccaturn/yuccaturn/yuccadocument"
	"github.com/yuccaturn/yuccaturn/yuccastate"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

func apply(t *testing.T, s *yuccastate.State, c *yuccawire.Command) yuccastate.Result {
	t.Helper()
	data, err := proto.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	result, err := s.Apply(data)
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
		t.Errorf("claim result = %s, want %s", r.GetResult(), expected)
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
			t.Errorf("reply nonce = %d, want %d", r.GetNonce(), nonce+1)
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

// The new owner may have heard of an earlier owner only.
func TestTakeOverNamesTheFormerOwner(t *testing.T) {
	s := yuccastate.New()
	applyClaim(t, s, newClaim("x", 1))
	for i, owners := range [][2]string{{"x", "y"}, {"y", "z"}} {
		applyFence(t, s, owners[0])
		c := newClaim(owners[1], uint64(i)+7)
		c.TakeOver = true
		r := applyClaim(t, s, c)
		expectResult(t, r, yuccawire.ClaimResult_CLAIM_TAKEN)
		if r.GetOwner() != owners[0] || r.GetIncarnation() != 1 {
			t.Errorf("the take-over by %s names %s, want %s", owners[1], r.GetOwner(), owners[0])
		}
	}
}

// A new owner whose reply was lost repeats its claim. The reply must again be
// CLAIM_TAKEN, not CLAIM_GRANTED: the owner must not start tasks before it has
// gathered the state of the job.
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
	data, err := s.Encode()
	if err != nil {
		t.Fatal(err)
	}
	restored, err := yuccastate.Decode(data)
	if err != nil {
		t.Fatal(err)
	}
	reencoded, err := restored.Encode()
	if err != nil || !bytes.Equal(data, reencoded) {
		t.Errorf("encoding of the restored state differs, error %v", err)
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
		{sectionCommand(yuccadocument.SectionDrainedDataCentres, 0, "e", `{"out": []}`), yuccastate.Invalid},
		{sectionCommand(yuccadocument.SectionDataCentres, 1, "f", dataCentres), yuccastate.Accepted},
		{sectionCommand(yuccadocument.SectionDataCentres, 0, "a", dataCentres), yuccastate.Repeated},
	} {
		if got := applyOutcome(t, s, c.command); got != c.outcome {
			t.Errorf("change %d: outcome = %d, want %d", i, got, c.outcome)
		}
	}
	if v := s.Section(yuccadocument.SectionDataCentres).GetVersion(); v != 2 {
		t.Errorf("section version = %d, want 2", v)
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
		t.Errorf("drained data centres = %v, want cusco and puno", s.DrainedDataCentres())
	}
	set := &yuccawire.SetDataCentre{DataCentre: "cusco", RequestId: "in"}
	apply(t, s, &yuccawire.Command{Body: &yuccawire.Command_SetDataCentre{SetDataCentre: set}})
	if restored := encodeAndDecode(t, s); restored.IsDrained("cusco") || !restored.IsDrained("puno") {
		t.Errorf("drained data centres after restoring cusco = %v, want puno", restored.DrainedDataCentres())
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
		t.Errorf("%d claims expired and %d retained, want 5 and 5", result.Expired, s.JobCount())
	}
}

// A retention that was shortened a moment ago leaves the claims of running jobs, also after
// a snapshot. The commands that drop claims are the same as before.
func TestRetentionOutlivesRunningJobs(t *testing.T) {
	const changedMs = 10_000_000
	s := yuccastate.New()
	for i, step := range []struct {
		body string
		atMs int64
	}{{`{"claims_kept": "2h"}`, 1000}, {`{"claims_kept": "5m"}`, 2000}, {`{"claims_kept": "1m"}`, changedMs}} {
		change := &yuccawire.ApplySection{Section: "limits", BaseVersion: uint64(i), RequestId: fmt.Sprint(i), Body: []byte(step.body), AtUnixMs: step.atMs}
		if got := apply(t, s, &yuccawire.Command{Body: &yuccawire.Command_ApplySection{ApplySection: change}}); got.Change.Outcome != yuccastate.Accepted {
			t.Fatalf("%s: got %+v", step.body, got.Change)
		}
	}
	const margin = 15 * time.Second
	for after, want := range map[time.Duration]time.Duration{
		0: 5*time.Minute + margin, 10*time.Minute + 30*time.Second: 5*time.Minute + margin, 12 * time.Minute: time.Minute + margin,
	} {
		now := time.UnixMilli(changedMs).Add(after)
		for _, state := range []*yuccastate.State{s, encodeAndDecode(t, s)} {
			if got := state.ClaimRetention(now); got != want {
				t.Errorf("%s after the change: claims are kept for %s, want %s", after, got, want)
			}
		}
	}
	if got, want := yuccastate.New().ClaimRetention(time.UnixMilli(changedMs)), time.Hour+margin; got != want {
		t.Errorf("without limits: claims are kept for %s, want %s", got, want)
	}
}

// BenchmarkClaims applies claims in batches of 100. It reports the heap and
// snapshot size per claim.
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
		data, _ := proto.Marshal(&yuccawire.Command{Body: &yuccawire.Command_Claims{Claims: batch}})
		if _, err := s.Apply(data); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(heapBytes()-before)/float64(n), "heap-B/claim")
	data, _ := s.Encode()
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(n), "ns/claim")
	b.ReportMetric(float64(len(data))/float64(n), "snapshot-B/claim")
}

// heapBytes returns the bytes of live heap objects after a collection.
func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkSnapshot encodes a state with the claims of five minutes at 1,200
// jobs per second.
func BenchmarkSnapshot(b *testing.B) {
	const claims = 300 * 1200
	s := yuccastate.New()
	batch := &yuccawire.ClaimBatch{}
	for i := range claims {
		batch.Claims = append(batch.Claims, &yuccawire.Claim{
			Job: &yuccawire.JobKey{Team: "parishes", Id: fmt.Sprintf("job-%d", i)}, Digest: make([]byte, 32), Owner: "entry-1", Incarnation: 1, Nonce: uint64(i),
		})
	}
	data, _ := proto.Marshal(&yuccawire.Command{Body: &yuccawire.Command_Claims{Claims: batch}})
	if _, err := s.Apply(data); err != nil {
		b.Fatal(err)
	}
	size := 0
	for b.Loop() {
		data, err := s.Encode()
		if err != nil {
			b.Fatal(err)
		}
		size = len(data)
	}
	b.ReportMetric(float64(size), "B")
}

// A proposal that was delayed until after a later change must not undo that change.
func TestDelayedDrainIsConflict(t *testing.T) {
	s := yuccastate.New()
	set := func(drained bool, base uint64) *yuccastate.ChangeResult {
		d := &yuccawire.SetDataCentre{DataCentre: "puno", Out: drained, Known: true, BaseVersion: proto.Uint64(base)}
		return apply(t, s, &yuccawire.Command{Body: &yuccawire.Command_SetDataCentre{SetDataCentre: d}}).Change
	}
	drained := set(true, 0)
	if drained.Outcome != yuccastate.Accepted {
		t.Fatalf("drain: got %+v, want it accepted", drained)
	}
	if got := set(false, drained.Version); got.Outcome != yuccastate.Accepted {
		t.Errorf("restore: got %+v, want it accepted", got)
	}
	if got := set(true, 0); got.Outcome != yuccastate.Conflict || s.IsDrained("puno") {
		t.Errorf("delayed drain: got %+v and drained %v, want a conflict", got, s.IsDrained("puno"))
	}
	if got := set(false, 0); got.Outcome != yuccastate.Repeated {
		t.Errorf("delayed restore: got %+v, want it to count as repeated", got)
	}
}

// Each replica applies a committed section, and again whenever it starts.
func TestDeeplyNestedSectionEndsTheReplicas(t *testing.T) {
	section := &yuccawire.ApplySection{Section: yuccadocument.SectionServices, Body: bytes.Repeat([]byte("["), yuccadocument.MaxSectionBytes)}
	result := apply(t, yuccastate.New(), &yuccawire.Command{Body: &yuccawire.Command_ApplySection{ApplySection: section}})
	if result.Change.Outcome != yuccastate.Invalid {
		t.Errorf("outcome = %v, want it invalid", result.Change.Outcome)
	}
}
