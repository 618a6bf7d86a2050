package coordinator

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"junctionring/internal/coordinator/leasepb"
	"junctionring/internal/leaseholder"
	"junctionring/lease"
)

// sessionTTL is the shortest life that a session may request.
const sessionTTL = time.Second

// testGroup is a group of coordinators that run in the test process.
type testGroup struct {
	t         *testing.T
	ctx       context.Context
	configs   []*Config
	stops     []func() error
	addresses []string
}

func newTestGroup(t *testing.T, n int, edit func(*Config)) *testGroup {
	t.Helper()
	ctx, done := context.WithTimeout(context.Background(), time.Minute)
	t.Cleanup(done)
	f := &testGroup{t: t, ctx: ctx, stops: make([]func() error, n)}
	var listeners []net.Listener // kept open until every address is allocated, so that none is allocated twice
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners = append(listeners, l)
		f.addresses = append(f.addresses, l.Addr().String())
	}
	for _, l := range listeners {
		l.Close()
	}
	for i, a := range f.addresses {
		text := fmt.Sprintf("name = \"c%d\"\nlisten = %q\ndata = \"data-%d\"\nlongest_life = %q\nsnapshot_entries = 100\n", i+1, a, i+1, sessionTTL)
		for j, b := range f.addresses {
			text += fmt.Sprintf("[[coordinator]]\nname = \"c%d\"\naddress = %q\n", j+1, b)
		}
		path := filepath.Join(t.TempDir(), "c.toml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		c, err := LoadConfig(path)
		if err != nil {
			t.Fatal(err)
		}
		if edit != nil {
			edit(c)
		}
		if _, err := Init(ctx, c); err != nil {
			t.Fatal(err)
		}
		f.configs = append(f.configs, c)
	}
	t.Cleanup(func() {
		for i := range f.stops {
			f.stop(i)
		}
	})
	return f
}

func (f *testGroup) start(indexes ...int) {
	f.t.Helper()
	for _, i := range indexes {
		ctx, end := context.WithCancel(f.ctx)
		ended, ready := make(chan error, 1), make(chan struct{})
		go func() {
			ended <- Serve(ctx, Options{Config: f.configs[i], Log: slog.New(slog.DiscardHandler)}, func(string) { close(ready) })
		}()
		f.stops[i] = func() error { end(); return <-ended }
		select {
		case <-ready:
		case err := <-ended:
			f.t.Fatalf("%s: %v", f.configs[i].Name, err)
		}
	}
}

func (f *testGroup) stop(i int) error {
	if f.stops[i] == nil {
		return nil
	}
	stop := f.stops[i]
	f.stops[i] = nil
	return stop()
}

func (f *testGroup) status(i int) *leasepb.StatusAnswer {
	s, err := callCoordinator(f.ctx, f.addresses[i], time.Second, func(ctx context.Context, to leasepb.LeasesClient) (*leasepb.StatusAnswer, error) {
		return to.Status(ctx, &leasepb.StatusAsk{})
	})
	if err != nil {
		return &leasepb.StatusAnswer{}
	}
	return s
}

// await polls until condition holds, and fails the test when its context ends. Coordinators report their status only
// on request.
func (f *testGroup) await(what string, condition func() bool) {
	f.t.Helper()
	for !condition() {
		select {
		case <-f.ctx.Done():
			f.t.Fatalf("timed out waiting until %s", what)
		case <-time.After(20 * time.Millisecond):
		}
	}
}

func (f *testGroup) leader() int {
	leader := -1
	f.await("there is a leader", func() bool {
		leader = slices.IndexFunc(f.addresses, func(a string) bool {
			i := slices.Index(f.addresses, a)
			s := f.status(i)
			return f.stops[i] != nil && s.Leader != 0 && s.Leader == s.Id
		})
		return leader >= 0
	})
	return leader
}

func (f *testGroup) client(name string) *leaseholder.Client {
	f.t.Helper()
	c, err := leaseholder.Start(f.ctx, leaseholder.Options{Coordinators: f.addresses, Life: sessionTTL, Member: lease.Member{Kind: "test", Name: name}})
	if err != nil {
		f.t.Fatal(err)
	}
	return c
}

func (f *testGroup) acquire(c *leaseholder.Client, name string) (*leaseholder.Lease, uint64) {
	f.t.Helper()
	l, err := c.Acquire(f.ctx, name)
	if err != nil {
		f.t.Fatal(err)
	}
	token, _, ok := l.Token()
	if !ok {
		f.t.Fatalf("lease %s was lost right after it was acquired: %s", name, l.Cause())
	}
	return l, token
}

func askLeader[T any](f *testGroup, do func(context.Context, leasepb.LeasesClient) (T, error)) (T, error) {
	ctx, done := context.WithTimeout(f.ctx, 5*time.Second)
	defer done()
	return leaseholder.Ask(ctx, leaseholder.NewGroup(f.addresses...), do)
}

func (f *testGroup) list() *leasepb.ListAnswer {
	f.t.Helper()
	a, err := askLeader(f, func(ctx context.Context, to leasepb.LeasesClient) (*leasepb.ListAnswer, error) {
		return to.List(ctx, &leasepb.ListAsk{}, leaseholder.Trailer(ctx))
	})
	if err != nil {
		f.t.Fatal(err)
	}
	return a
}

func TestALeaseGoesFromHolderToHolder(t *testing.T) {
	f := newTestGroup(t, 3, nil)
	f.start(0, 1, 2)
	a, b := f.client("a"), f.client("b")
	held, first := f.acquire(a, "sweep")
	kept, _ := f.acquire(a, "kept")
	got := make(chan uint64, 1)
	go func() {
		l, err := b.Acquire(f.ctx, "sweep")
		if err != nil {
			t.Error(err)
			close(got)
			return
		}
		token, _, _ := l.Token()
		got <- token
	}()
	f.await("b waits for the lease", func() bool {
		l := f.list().Leases
		return len(l) == 2 && len(l[1].Waiters) == 1
	})
	// A leader that is stopped transfers its leadership, and no lease is lost.
	if err := f.stop(f.leader()); err != nil {
		t.Error(err)
	}
	f.leader()
	if _, err := askLeader(f, func(ctx context.Context, to leasepb.LeasesClient) (*leasepb.Outcome, error) {
		return to.Revoke(ctx, &leasepb.RevokeAsk{Name: "sweep", By: "test"}, leaseholder.Trailer(ctx))
	}); err != nil {
		t.Fatal(err)
	}
	<-held.Lost()
	if _, _, ok := held.Token(); ok || held.Cause() != lease.CauseRevoked {
		t.Errorf("the holder of a revoked lease may still act: %v, cause %q", ok, held.Cause())
	}
	select {
	case <-got:
		t.Error("the lease was granted again before its holder released it and before a session life had passed")
	case <-time.After(50 * time.Millisecond):
	}
	if err := held.Release(f.ctx); err != nil {
		t.Error(err)
	}
	if second := <-got; second <= first {
		t.Errorf("token %d is not above the earlier token %d", second, first)
	}
	if _, _, ok := kept.Token(); !ok {
		t.Errorf("another lease of the same session was lost: %s", kept.Cause())
	}
	a.Close(f.ctx)
	f.await("the leases of the closed session are free", func() bool { return len(f.list().Leases) == 1 })
}

// A coordinator whose disk was lost must not act under its old identity, since it has forgotten its votes. It comes back
// under a new ID after it is removed and added again.
func TestCoordinatorWithLostDiskIsRejected(t *testing.T) {
	f := newTestGroup(t, 3, nil)
	f.start(0, 1, 2)
	f.await("every coordinator has been contacted", func() bool {
		c := f.status(f.leader()).Coordinators
		return len(c) == 3 && !slices.ContainsFunc(c, func(c *leasepb.Coordinator) bool { return !c.Met })
	})
	lost := (f.leader() + 1) % 3
	c := f.configs[lost]
	f.stop(lost)
	if err := os.RemoveAll(c.Data); err != nil {
		t.Fatal(err)
	}
	if _, err := Init(f.ctx, c); err == nil || !strings.Contains(err.Error(), "disk was lost") {
		t.Errorf("Init over a lost disk: %v; want an error about the lost disk", err)
	}
	// An identity that was written by hand is rejected too.
	if err := writeIdentity(c.Data, Identity{Group: c.groupName(), ID: uint64(lost + 1), Name: c.Name, Incarnation: 99}); err != nil {
		t.Fatal(err)
	}
	if err := Serve(f.ctx, Options{Config: c, Log: slog.New(slog.DiscardHandler)}, nil); err == nil || !strings.Contains(err.Error(), "knows another") {
		t.Errorf("Serve with a forged incarnation: %v; want an error that the group knows another", err)
	}
	_, err := callCoordinator(f.ctx, f.addresses[f.leader()], time.Second, func(ctx context.Context, _ leasepb.LeasesClient) (any, error) {
		conn, err := leasepb.Dial(f.addresses[f.leader()])
		if err != nil {
			return nil, err
		}
		defer conn.Close()
		return leasepb.NewPeersClient(conn).Send(ctx, &leasepb.Batch{Group: c.groupName(), From: uint64(lost + 1), Incarnation: 99})
	})
	if status.Code(err) != codes.FailedPrecondition {
		t.Errorf("Send with a forged incarnation: %v; want FailedPrecondition", err)
	}
	if err := os.RemoveAll(c.Data); err != nil {
		t.Fatal(err)
	}
	if _, err := Join(f.ctx, c, nil); err == nil {
		t.Error("Join succeeded under the old ID")
	}
	for _, do := range []func(context.Context, leasepb.LeasesClient) (*leasepb.Coordinator, error){
		func(ctx context.Context, to leasepb.LeasesClient) (*leasepb.Coordinator, error) {
			return to.RemoveCoordinator(ctx, &leasepb.Coordinator{Name: c.Name}, leaseholder.Trailer(ctx))
		},
		func(ctx context.Context, to leasepb.LeasesClient) (*leasepb.Coordinator, error) {
			return to.AddCoordinator(ctx, &leasepb.Coordinator{Name: c.Name, Address: c.Listen}, leaseholder.Trailer(ctx))
		},
	} {
		if _, err := askLeader(f, do); err != nil {
			t.Fatal(err)
		}
	}
	id, err := Join(f.ctx, c, nil)
	if err != nil || id.ID != 4 {
		t.Fatalf("Join returned ID %d, error %v; want ID 4", id.ID, err)
	}
	f.start(lost)
	f.await("the joined coordinator votes", func() bool {
		return slices.ContainsFunc(f.status(f.leader()).Coordinators, func(k *leasepb.Coordinator) bool { return k.Id == 4 && k.Votes })
	})
	// With one of the two other coordinators stopped, a removal would leave no majority.
	f.stop(slices.IndexFunc(f.addresses, func(a string) bool { i := slices.Index(f.addresses, a); return i != f.leader() && i != lost }))
	f.await("the leader sees that the coordinator is silent", func() bool {
		return slices.ContainsFunc(f.status(f.leader()).Coordinators, func(k *leasepb.Coordinator) bool { return k.SilentMs > activeWithin.Milliseconds() })
	})
	f.await("the removal of another coordinator is refused", func() bool {
		_, err := askLeader(f, func(ctx context.Context, to leasepb.LeasesClient) (*leasepb.Coordinator, error) {
			return to.RemoveCoordinator(ctx, &leasepb.Coordinator{Name: c.Name}, leaseholder.Trailer(ctx))
		})
		return err != nil && strings.Contains(err.Error(), "no majority")
	})
}

// A restored group grants tokens above all that the old one granted, also those granted after the backup, and only once
// the former holders can't act any more.
func TestRestoredBackupGrantsHigherTokens(t *testing.T) {
	f := newTestGroup(t, 1, nil)
	f.start(0)
	a := f.client("a")
	f.acquire(a, "one")
	backup, err := leaseholder.Backup(f.ctx, leaseholder.NewGroup(f.addresses...))
	if err != nil {
		t.Fatal(err)
	}
	_, newest := f.acquire(a, "two") // acquired after the backup
	f.stop(0)
	c := f.configs[0]
	if _, err := Restore(c, backup, 0); err == nil {
		t.Error("restored into a folder that holds a coordinator")
	}
	if err := os.RemoveAll(c.Data); err != nil {
		t.Fatal(err)
	}
	if _, err := Restore(c, backup, 1); err == nil {
		t.Error("restored with an epoch not above the backup's")
	}
	if _, err := Restore(c, backup[:len(backup)-1], 0); err == nil {
		t.Error("restored from a truncated backup")
	}
	time.Sleep(time.Until(time.Now().Truncate(time.Second).Add(time.Second))) // epochs are whole seconds
	if _, err := Restore(c, backup, 0); err != nil {
		t.Fatal(err)
	}
	begun := time.Now()
	f.start(0)
	_, token := f.acquire(f.client("b"), "two")
	if token <= newest || token>>32 <= newest>>32 {
		t.Errorf("token %x: its epoch is not above that of the token %x given after the backup", token, newest)
	}
	if time.Since(begun) < sessionTTL {
		t.Errorf("granted %v after the restore, within a session life: the former holder may still act", time.Since(begun))
	}
}

// A client above a bound is told to retry, and is served once there is room.
func TestBoundsAreToldAndWaitedFor(t *testing.T) {
	f := newTestGroup(t, 1, func(c *Config) { c.Bounds.Sessions, c.Bounds.Leases, c.Bounds.Waiters = 2, 1, 1 })
	f.start(0)
	a, b := f.client("a"), f.client("b")
	one, _ := f.acquire(a, "one")
	second := make(chan *leaseholder.Lease, 1)
	go func() {
		l, _ := b.Acquire(f.ctx, "two") // waits: the bound is one lease
		second <- l
	}()
	c := f.client("c") // waits: the bound is two sessions
	third := make(chan *leaseholder.Lease, 1)
	go func() {
		l, _ := c.Acquire(f.ctx, "two")
		third <- l
	}()
	f.await("two sessions are open", func() bool { return f.status(0).Sessions == 2 })
	if err := one.Release(f.ctx); err != nil {
		t.Fatal(err)
	}
	if <-second == nil {
		t.Error("the second lease was never granted")
	}
	a.Close(f.ctx)
	b.Close(f.ctx)
	if <-third == nil {
		t.Error("the third session was never opened")
	}
}

func TestWatchersAreToldEachChangeInOrder(t *testing.T) {
	f := newTestGroup(t, 3, nil)
	f.start(0, 1, 2)
	quiet, end := context.WithCancel(f.ctx)
	if _, err := leaseholder.Start(quiet, leaseholder.Options{Coordinators: f.addresses, Life: sessionTTL, Member: lease.Member{Kind: "test", Name: "falls silent"}}); err != nil {
		t.Fatal(err)
	}
	f.await("the session is open", func() bool { return f.status(f.leader()).Sessions == 1 })
	told := make(chan string, 100)
	go leaseholder.Watch{Coordinators: f.addresses, Log: slog.New(slog.NewTextHandler(io.Discard, nil))}.Run(f.ctx, func(whole bool, changes []lease.Change) {
		if whole {
			told <- fmt.Sprintf("whole %d", len(changes))
			return
		}
		for _, c := range changes {
			told <- fmt.Sprintf("%s %s %s", leaseholder.ChangeWord(c.Kind), c.Member.Name, c.Member.State)
		}
	})
	expect := func(want string) {
		t.Helper()
		select {
		case got := <-told:
			if got != want {
				t.Errorf("received %q, want %q", got, want)
			}
		case <-f.ctx.Done():
			t.Fatalf("timed out waiting for %q", want)
		}
	}
	expect("whole 1")
	a := f.client("a")
	expect("joined a ")
	f.stop(f.leader()) // the watch ends with it; the next leader sends the missed changes
	a.Report(f.ctx, lease.Member{Kind: "test", Name: "a", State: "draining"})
	expect("changed a draining")
	a.Close(f.ctx)
	expect("left a draining")
	end()
	expect("silent falls silent ")
}

func TestBadFilesAreNamedByKey(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{`listen = "x"`, `listen: "x" is no host:port`},
		{"listen = \"a:1\"\ndata = \"d\"\nfoo = 1", "unknown key foo"},
		{`listen = "a:1"`, "data: the folder"},
		{"listen = \"a:1\"\ndata = \"d\"\nlongest_life = \"1h\"", "longest_life: 1h0m0s is not from 1s to 10m"},
		{"listen = \"a:1\"\ndata = \"d\"\ndrift = 0.5", "drift: 0.5"},
		{"listen = \"a:1\"\ndata = \"d\"\n[bounds]\nwaiters = 0", "bounds: waiters must be at least 1"},
		{"listen = \"a:1\"\ndata = \"d\"\n[[coordinator]]\nname = \"x\"\naddress = \"a:1\"", `none of those listed has the name "coordinator-1"`},
		{"name = \"x\"\nlisten = \"a:1\"\ndata = \"d\"\n[[coordinator]]\nname = \"x\"\naddress = \"a:1\"\n[[coordinator]]\nname = \"y\"\naddress = \"a:1\"", "2 are listed"},
	} {
		path := filepath.Join(t.TempDir(), "c.toml")
		if err := os.WriteFile(path, []byte(c.text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := LoadConfig(path); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q: %v, want %q", c.text, err, c.want)
		}
	}
}

// A checksum mismatch inside the log, not at its end, makes New fail with an error that the disk is lost.
func TestASpoiltLogIsNotServedFrom(t *testing.T) {
	f := newTestGroup(t, 1, nil)
	f.start(0)
	f.acquire(f.client("a"), "one")
	f.stop(0)
	logs, _ := filepath.Glob(filepath.Join(f.configs[0].Data, "log", "*.wal"))
	raw, err := os.ReadFile(logs[0])
	if err != nil {
		t.Fatal(err)
	}
	raw[200] ^= 1
	if err := os.WriteFile(logs[0], raw, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := New(Options{Config: f.configs[0], Log: slog.New(slog.DiscardHandler)}); err == nil || !strings.Contains(err.Error(), "lost") {
		t.Errorf("New with a corrupt log: %v; want an error that the disk is lost", err)
	}
}

func FuzzDecode(f *testing.F) {
	g := newGroup()
	g.State.Apply(lease.Command{Op: lease.Lead, Term: 1, Epoch: 1})
	g.State.Apply(lease.Command{Op: lease.Open, Session: "s", TTL: sessionTTL})
	f.Add(encode(g))
	f.Add(encode(entry{Cmd: &lease.Command{Op: lease.Acquire, Session: "s", Name: "l", Seq: 1}}))
	f.Fuzz(func(t *testing.T, raw []byte) {
		if g, err := decodeGroup(raw); err == nil && (g.State == nil || g.Peers == nil) {
			t.Error("a group without leases or peers was decoded")
		}
		var e entry
		decode(raw, &e)
	})
}
