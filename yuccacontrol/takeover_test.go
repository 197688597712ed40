package yuccacontrol_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// member is a process with a link to a control. It keeps the names of the members that it is
// told of, and the last reply to a claim.
type member struct {
	node  *yuccawire.Node
	link  yuccawire.Link
	known map[string]bool
	reply *yuccawire.ClaimReply
	// knownAtReply has the members that it knew by then.
	knownAtReply int
}

func (d *deployment) join(ctx context.Context, name string, role yuccawire.Role, incarnation uint64) *member {
	m := &member{node: &yuccawire.Node{Name: name, Role: role, Incarnation: incarnation}, known: make(map[string]bool)}
	link, err := d.fabric.Host(name).Dial(ctx, "a:1")
	if err != nil {
		d.t.Fatal(err)
	}
	if _, err := yuccawire.SayHello(ctx, link, m.node); err != nil {
		d.t.Fatal(err)
	}
	m.link = link
	go m.run()
	m.renew()
	return m
}

func (m *member) renew() {
	renew := &yuccawire.Renew{Sequence: 1, Node: m.node}
	if m.node.GetRole() == yuccawire.Role_ROLE_SIDE {
		renew.Targets = []*yuccawire.Target{{Service: "regulation", Slots: 1}}
	}
	_ = m.link.Send(&yuccawire.Envelope{Body: &yuccawire.Envelope_Renew{Renew: renew}})
}

func (m *member) claim(takeOver bool) {
	claim := &yuccawire.Claim{
		Job: &yuccawire.JobKey{Team: "parishes", Id: "j"}, Digest: []byte{1}, Owner: m.node.GetName(),
		Incarnation: m.node.GetIncarnation(), Nonce: 1, TakeOver: takeOver,
	}
	batch := &yuccawire.ClaimBatch{Claims: []*yuccawire.Claim{claim}}
	_ = m.link.Send(&yuccawire.Envelope{Body: &yuccawire.Envelope_ClaimBatch{ClaimBatch: batch}})
}

func (m *member) run() {
	for {
		message, err := m.link.Receive()
		if err != nil {
			return
		}
		for _, changed := range message.GetRenewed().GetMembers().GetChanged() {
			m.known[changed.GetNode().GetName()] = true
		}
		for _, reply := range message.GetClaimReplies().GetReplies() {
			m.reply, m.knownAtReply = reply, len(m.known)
		}
	}
}

// The owner knows the side from the former leader, and has started tasks there. It crashes and
// starts again before the next leader tells the entries of the side.
func TestJobIsTakenOverBeforeItsSidesAreKnown(t *testing.T) {
	for _, c := range []struct {
		name  string
		after time.Duration
	}{{"by a new leader", 1500 * time.Millisecond}, {"before the next push", 4 * time.Second}} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				d := newDeployment(t)
				d.start(ctx, "a", true, "a")
				time.Sleep(2 * time.Second)
				d.cancels["a"]()
				synctest.Wait()
				d.start(ctx, "a", true, "a")
				time.Sleep(c.after)
				owner := d.join(ctx, "entry-1", yuccawire.Role_ROLE_ENTRY, 1)
				next := d.join(ctx, "entry-2", yuccawire.Role_ROLE_ENTRY, 1)
				owner.claim(false)
				time.Sleep(100 * time.Millisecond)
				synctest.Wait()
				if owner.reply.GetResult() != yuccawire.ClaimResult_CLAIM_GRANTED {
					t.Errorf("the owner was answered %v", owner.reply)
				}
				side := d.join(ctx, "side-1", yuccawire.Role_ROLE_SIDE, 1)
				again := d.join(ctx, "entry-1", yuccawire.Role_ROLE_ENTRY, 2)
				for range 6 {
					next.claim(true)
					time.Sleep(time.Second)
					synctest.Wait()
					if next.reply.GetResult() == yuccawire.ClaimResult_CLAIM_TAKEN {
						break
					}
					for _, m := range []*member{next, side, again} {
						m.renew()
					}
				}
				if next.reply.GetResult() != yuccawire.ClaimResult_CLAIM_TAKEN || next.knownAtReply != 3 {
					t.Errorf("entry-2 was answered %v as it knew %d of 3 members", next.reply, next.knownAtReply)
				}
				for _, m := range []*member{owner, next, side, again} {
					_ = m.link.Close()
				}
				cancel()
				synctest.Wait()
			})
		})
	}
}
