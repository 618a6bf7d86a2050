package coordinator

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"junctionring/internal/coordinator/leasepb"
	"junctionring/internal/snapshot"
)

// groupName returns the name of the group, a hash of the initial coordinators. It is the same at all of them.
func (c *Config) groupName() string {
	d := xxhash.New()
	for _, p := range c.initialPeers() {
		fmt.Fprintln(d, p.ID, p.Name, p.Address)
	}
	return fmt.Sprintf("%016x", d.Sum64())
}

// checkEmpty returns an error if a data folder exists and is not empty.
func checkEmpty(dir string) error {
	switch exists, err := HasIdentity(dir); {
	case err != nil:
		return err
	case exists:
		return fmt.Errorf("data folder %s: it holds a coordinator already", dir)
	}
	entries, err := os.ReadDir(dir)
	if err == nil && len(entries) > 0 {
		return fmt.Errorf("data folder %s: it is not empty (%s, ...) and has no coordinator's identity file", dir, entries[0].Name())
	}
	if errors.Is(err, os.ErrNotExist) {
		err = nil
	}
	return err
}

// Init creates the data folder of an initial coordinator. It fails if a coordinator of the group has recorded an
// incarnation of this one: an empty folder then means a lost disk, and a coordinator without its log must not vote
// under its old ID.
func Init(ctx context.Context, c *Config) (Identity, error) {
	if err := checkEmpty(c.Data); err != nil {
		return Identity{}, err
	}
	id := Identity{Group: c.groupName(), Name: c.Name, Incarnation: rand.Uint64() | 1}
	for _, p := range c.initialPeers() {
		if p.Name == c.Name {
			id.ID = p.ID
			continue
		}
		if s, err := callCoordinator(ctx, p.Address, time.Second, func(ctx context.Context, to leasepb.LeasesClient) (*leasepb.StatusAnswer, error) {
			return to.Status(ctx, &leasepb.StatusAsk{})
		}); err == nil && slices.ContainsFunc(s.Coordinators, func(k *leasepb.Coordinator) bool { return k.Name == c.Name && k.Met }) {
			return Identity{}, fmt.Errorf("%s at %s already knows a coordinator %s: this folder's disk was lost; use 'coordinator member remove %s', 'member add', and 'run --join'", p.Name, p.Address, c.Name, c.Name)
		}
	}
	return id, writeIdentity(c.Data, id)
}

// Join creates the data folder of a coordinator that was added to a running group. via is as in Options.
func Join(ctx context.Context, c *Config, via map[string]string) (Identity, error) {
	if err := checkEmpty(c.Data); err != nil {
		return Identity{}, err
	}
	id := Identity{Name: c.Name, Incarnation: rand.Uint64() | 1, Joins: true}
	var errs []error
	for _, p := range c.initialPeers() {
		if p.Name == c.Name {
			continue
		}
		a, err := callCoordinator(ctx, cmp.Or(via[p.Address], p.Address), 5*time.Second, func(ctx context.Context, to leasepb.LeasesClient) (*leasepb.JoinAnswer, error) {
			return to.Join(ctx, &leasepb.JoinAsk{Name: c.Name, Incarnation: id.Incarnation})
		})
		if err == nil {
			id.Group, id.ID = a.Group, a.Id
			for _, p := range a.Coordinators {
				id.First = append(id.First, Peer{ID: p.Id, Name: p.Name, Address: p.Address})
			}
			return id, writeIdentity(c.Data, id)
		}
		if status.Code(err) != codes.FailedPrecondition {
			errs = append(errs, fmt.Errorf("%s at %s: %s", p.Name, p.Address, status.Convert(err).Message()))
		}
	}
	if len(errs) == 0 {
		errs = append(errs, errors.New("the group has no leader at the moment: try again"))
	}
	return Identity{}, fmt.Errorf("coordinator %s could not join through any listed coordinator: %w", c.Name, errors.Join(errs...))
}

// callCoordinator makes one call to the coordinator at address, whether it leads or not.
func callCoordinator[T any](ctx context.Context, address string, timeout time.Duration, f func(context.Context, leasepb.LeasesClient) (T, error)) (t T, err error) {
	conn, err := leasepb.Dial(address)
	if err != nil {
		return t, err
	}
	defer conn.Close()
	ctx, done := context.WithTimeout(ctx, timeout)
	defer done()
	return f(ctx, leasepb.NewLeasesClient(conn))
}

// Restore creates the data folder of a new group from a backup. The group has one coordinator; others are added to it
// later. Fencing tokens of the new group are above all those of the old one, unless the wall clock of this machine was
// set back by more than the group's age. An epoch other than 0 is the lowest that the new
// group uses, so that the check against the wall clock is skipped.
func Restore(c *Config, backup []byte, epoch uint32) (Identity, error) {
	if err := checkEmpty(c.Data); err != nil {
		return Identity{}, err
	}
	g, err := decodeGroup(backup)
	if err != nil {
		return Identity{}, err
	}
	switch {
	case epoch != 0 && epoch <= g.State.Epoch:
		return Identity{}, fmt.Errorf("epoch: %d is not above the backup's epoch of %d", epoch, g.State.Epoch)
	case epoch == 0 && uint32(time.Now().Unix()) <= g.State.Epoch:
		return Identity{}, fmt.Errorf("this machine's clock is not past the backup's epoch of %d: set the clock, or give an --epoch above that of every token that protected resources have seen", g.State.Epoch)
	case epoch != 0:
		g.State.Epoch = epoch - 1 // the first leader's epoch is the next one, or its clock's if that is higher
	}
	g.State.Restored = true
	id := Identity{Group: fmt.Sprintf("%s-%08x", c.groupName(), rand.Uint32()), ID: g.Next, Name: c.Name, Incarnation: rand.Uint64() | 1}
	g.Peers = map[uint64]Peer{id.ID: {ID: id.ID, Name: c.Name, Address: c.Listen, Incarnation: id.Incarnation}}
	g.Next++
	d, _, _, err := openDisk(c.Data)
	if err != nil {
		return Identity{}, err
	}
	term := g.State.Term + 1
	s := &raftpb.Snapshot{Data: encode(g), Metadata: &raftpb.SnapshotMetadata{Index: new(uint64(1)), Term: new(term),
		ConfState: &raftpb.ConfState{Voters: []uint64{id.ID}}}}
	if err := d.saveSnapshot(s); err != nil {
		return Identity{}, err
	}
	if err := d.wal.Save(&raftpb.HardState{Term: new(term), Commit: new(uint64(1))}, nil); err != nil {
		return Identity{}, err
	}
	if err := d.close(); err != nil {
		return Identity{}, err
	}
	return id, writeIdentity(c.Data, id) // last: a folder without an identity belongs to no coordinator
}

// CheckBackup returns an error unless raw is a complete backup. It returns the numbers of sessions and leases in it, and
// the newest token.
func CheckBackup(raw []byte) (sessions, leases int, token uint64, err error) {
	g, err := decodeGroup(raw)
	if err != nil {
		return 0, 0, 0, err
	}
	return len(g.State.Sessions), len(g.State.Leases), g.State.Token, nil
}

// Serve runs a coordinator on its configured address until ctx ends. ready, unless nil, is called once it listens.
func Serve(ctx context.Context, o Options, ready func(address string)) error {
	n, err := New(o)
	if err != nil {
		return err
	}
	l, err := net.Listen("tcp", o.Config.Listen)
	if err != nil {
		n.disk.close()
		n.peers.close()
		return fmt.Errorf("coordinator %s can't listen: %w", n.id.Name, err)
	}
	s := n.Server()
	served := make(chan error, 1)
	go func() { served <- s.Serve(l) }()
	if ready != nil {
		ready(l.Addr().String())
	}
	o.Log.Info("coordinator started", "name", n.id.Name, "id", n.id.ID, "group", n.id.Group, "listen", l.Addr().String(), "applied", n.applied,
		"coordinators", slices.Sorted(func(yield func(string) bool) {
			for _, p := range n.g.Peers {
				if !yield(p.Name) {
					return
				}
			}
		}))
	err = n.Run(ctx)
	s.Stop()
	return errors.Join(err, <-served)
}

// HasIdentity reports whether a data folder has the identity of a coordinator.
func HasIdentity(dir string) (bool, error) {
	switch _, err := readIdentity(dir); {
	case err == nil:
		return true, nil
	case errors.Is(err, snapshot.ErrNone):
		return false, nil
	default:
		return false, fmt.Errorf("data folder %s: %w", dir, err)
	}
}
