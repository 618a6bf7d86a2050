package coordinator

import (
	"cmp"
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"junctionring/internal/coordinator/leasepb"
)

const (
	peerQueueSize       = 1024 // messages queued for one coordinator; raft resends those that do not fit
	maxBatchMessages    = 64
	sendTimeout         = time.Second
	sendRetryDelay      = 100 * time.Millisecond // after a failed call
	snapshotSendTimeout = 20 * time.Second
)

// peers sends raft messages to the other coordinators, with one goroutine and one call at a time for each of them.
type peers struct {
	n    *Node
	ctx  context.Context
	end  context.CancelFunc
	byID map[uint64]*peer
}

type peer struct {
	Peer
	out        chan *raftpb.Message
	end        context.CancelFunc
	lastAnswer atomic.Int64 // time of its last answer, on the node's clock; 0: never
}

func newPeers(n *Node) *peers {
	ctx, end := context.WithCancel(context.Background())
	return &peers{n, ctx, end, map[uint64]*peer{}}
}

// set starts and stops senders so that there is one for each coordinator of the group other than this one.
func (p *peers) set(all map[uint64]Peer) {
	for id, existing := range p.byID {
		if current, ok := all[id]; !ok || current != existing.Peer {
			existing.end()
			delete(p.byID, id)
		}
	}
	for id, a := range all {
		if id == p.n.id.ID || p.byID[id] != nil {
			continue
		}
		ctx, end := context.WithCancel(p.ctx)
		x := &peer{Peer: a, out: make(chan *raftpb.Message, peerQueueSize), end: end}
		p.byID[id] = x
		go x.run(ctx, p.n)
	}
}

func (p *peers) send(messages []*raftpb.Message) {
	for _, m := range messages {
		x := p.byID[m.GetTo()]
		if x == nil {
			continue
		}
		select {
		case x.out <- m:
		default:
			if m.GetType() == raftpb.MsgSnap {
				go p.n.post(p.n.urgent, snapshotSent{m.GetTo(), false})
			}
		}
	}
}

// sinceLastAnswer returns the time since a coordinator last answered. ok is false if it never has.
func (p *peers) sinceLastAnswer(id uint64) (d time.Duration, ok bool) {
	x := p.byID[id]
	if x == nil || x.lastAnswer.Load() == 0 {
		return 0, false
	}
	return p.n.clock() - time.Duration(x.lastAnswer.Load()), true
}

func (p *peers) close() { p.end() }

func (x *peer) run(ctx context.Context, n *Node) {
	conn, err := leasepb.Dial(cmp.Or(n.via[x.Address], x.Address))
	if err != nil {
		n.log.Error("can't create a connection to another coordinator", "name", x.Name, "err", err)
		return
	}
	defer conn.Close()
	to := leasepb.NewPeersClient(conn)
	failing := false
	for {
		var first *raftpb.Message
		select {
		case <-ctx.Done():
			return
		case first = <-x.out:
		}
		b := &leasepb.Batch{Group: n.id.Group, From: n.id.ID, Incarnation: n.id.Incarnation, ToIncarnation: x.Incarnation}
		timeout, snap := sendTimeout, false
		for m := first; m != nil; {
			if m.GetType() == raftpb.MsgSnap {
				snap, timeout = true, snapshotSendTimeout
			}
			raw, err := proto.Marshal(m)
			if err == nil {
				b.Messages = append(b.Messages, raw)
			}
			m = nil
			if len(b.Messages) < maxBatchMessages && !snap {
				select {
				case m = <-x.out:
				default:
				}
			}
		}
		call, done := context.WithTimeout(ctx, timeout)
		_, err := to.Send(call, b)
		done()
		if err == nil {
			x.lastAnswer.Store(int64(n.clock()))
		}
		if snap {
			n.post(n.urgent, snapshotSent{x.ID, err == nil})
		}
		if err != nil && ctx.Err() == nil {
			if !failing {
				n.log.Warn("another coordinator can't be reached", "name", x.Name, "address", x.Address, "err", err)
			}
			n.post(n.urgent, unreachable{x.ID})
			select {
			case <-ctx.Done():
				return
			case <-time.After(sendRetryDelay):
			}
		} else if failing && err == nil {
			n.log.Info("another coordinator can be reached again", "name", x.Name)
		}
		failing = err != nil
	}
}

// peerServer receives the raft messages of the other coordinators.
type peerServer struct {
	leasepb.UnimplementedPeersServer
	n *Node
}

// Send implements the Peers service. It rejects messages from outside the group and from a coordinator whose incarnation
// differs from the recorded one, that is, whose disk was lost.
func (s peerServer) Send(ctx context.Context, b *leasepb.Batch) (*leasepb.BatchAnswer, error) {
	n := s.n
	if b.Group != n.id.Group {
		return nil, status.Errorf(codes.FailedPrecondition, "group %s, and this is %s", b.Group, n.id.Group)
	}
	var messages []*raftpb.Message
	for _, raw := range b.Messages {
		m := &raftpb.Message{}
		if err := proto.Unmarshal(raw, m); err != nil {
			return nil, status.Errorf(codes.InvalidArgument, "a message can't be read: %v", err)
		}
		if m.GetFrom() != b.From || m.GetTo() != n.id.ID {
			return nil, status.Errorf(codes.InvalidArgument, "a message from %d to %d, sent by %d to %d", m.GetFrom(), m.GetTo(), b.From, n.id.ID)
		}
		messages = append(messages, m)
	}
	answer := make(chan error, 1)
	ok := n.post(n.urgent, call{func() {
		known, in := n.g.Peers[b.From]
		switch {
		case b.ToIncarnation != 0 && b.ToIncarnation != n.id.Incarnation:
			n.identityErr = fmt.Errorf("the group knows another %s: this one's disk was lost; use 'coordinator member remove', 'member add', and 'run --join'", n.id.Name)
			answer <- n.identityErr
		case !in && n.applied > 0 && !n.id.Joins:
			answer <- fmt.Errorf("coordinator %d is not of this group", b.From)
		case in && known.Incarnation != 0 && known.Incarnation != b.Incarnation:
			answer <- fmt.Errorf("this is not the coordinator %s that the group knows: its disk was lost", known.Name)
		default:
			if in && known.Incarnation == 0 {
				n.handle(meetPeer{Peer{ID: b.From, Incarnation: b.Incarnation}})
			}
			n.handle(peerMessages{messages})
			answer <- nil
		}
	}})
	if !ok {
		return nil, status.Error(codes.ResourceExhausted, "too much is waiting here")
	}
	select {
	case err := <-answer:
		if err != nil {
			return nil, status.Error(codes.FailedPrecondition, err.Error())
		}
		return &leasepb.BatchAnswer{}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-n.ended:
		return nil, status.Error(codes.Unavailable, "ended")
	}
}
