// Package configuration is the actor round the life of versions: it has offered documents checked, staged, saved
// and put in force, and tells whoever offered them what became of them. It owns the documents that a version
// needs, the numbers that classes and plans have in the core, and the last good one on disk. What is taken and what
// is turned down is decided in package versions and in the checks of package config.
package configuration

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"strconv"
	"time"

	"junctionring/control"
	"junctionring/internal/config"
	"junctionring/internal/core"
	"junctionring/internal/forwardauth"
	"junctionring/internal/snapshot"
	"junctionring/versions"
)

// MaxDocument is the most that a version's document may hold, in bytes.
const MaxDocument = 8 << 20

const (
	mailboxSize  = 1024
	answersMost  = 4096 // offers whose answer is still owed or may come again
	rosterPause  = 200 * time.Millisecond
	oldDocuments = 16      // kept to be shown and compared
	oldBytes     = 8 << 20 // that they hold together at most
)

// Offer is a document as somebody offers it.
type Offer struct {
	Number   int64
	Content  []byte
	Rollback bool
	Source   int          // as in package versions
	Answer   func(string) // told "" when it is in force, else why not; after a wait for the roster once more
}

// Status is how things stand.
type Status struct {
	versions.Status
	Age time.Duration // of the version in force
}

// key names a document.
type key struct {
	number int64
	digest uint64
}

type (
	offered struct{ o Offer }
	done    struct {
		versions.Done
		ready *staged
	}
	roster  struct{ ids map[string]bool }
	recheck struct{}
	pin     struct{ on bool }
	ask     struct{ got chan Status }
	read    struct {
		number int64
		got    chan []byte
	}
)

// staged is a version that was built beside the one in force.
type staged struct {
	o    *config.Operator
	view *forwardauth.View
}

// Steward is the actor. Run runs it; the other methods may be called from anywhere.
type Steward struct {
	base    *config.Operator // what the gateway was started with
	reader  *config.VersionReader
	core    *core.Core
	front   *forwardauth.Front
	targets func(*config.Operator) // told of each version that comes into force
	log     *slog.Logger

	mailbox chan any
	done    chan struct{}
	base0   time.Time

	life    *versions.Life
	slots   config.Slots
	docs    map[key][]byte
	old     []key // documents that are kept though no version needs them, oldest first
	answers map[string]func(string)
	lastID  int
	now     *staged // in force
	next    *staged // checked or staged, of the version on its way
	roster  map[string]bool
	waits   bool // for the pause after a change of the roster
	actions []versions.Action
}

// New makes the steward of a gateway that was started with base and begins with effective: base itself (number 0),
// or what was found in its snapshot.
func New(base, effective *config.Operator, number int64, content []byte, c *core.Core, f *forwardauth.Front,
	targets func(*config.Operator), log *slog.Logger) *Steward {
	s := &Steward{
		base: base, reader: config.NewVersionReader(base), core: c, front: f, targets: targets, log: log,
		mailbox: make(chan any, mailboxSize), done: make(chan struct{}), base0: time.Now(),
		docs: map[key][]byte{}, answers: map[string]func(string){},
		now: &staged{o: effective},
	}
	first := versions.Offer{Source: versions.FromDisk, Number: number, Digest: snapshot.Digest(content)}
	s.docs[key{first.Number, first.Digest}] = content
	s.life = versions.New(0, first, base.Versions.Snapshot != "")
	s.slots.Take(effective, func(int) bool { return true }, func(int) bool { return true })
	c.Name(slices.Clone(s.slots.ClassNames))
	return s
}

// Offer hands a document over; its answer comes through it.
func (s *Steward) Offer(o Offer) {
	select {
	case s.mailbox <- offered{o}:
	default:
		go o.Answer("the gateway is busy with other versions")
	}
}

// Roster tells which targets the roster names. It does not wait.
func (s *Steward) Roster(ids map[string]bool) { s.leave(roster{ids}) }

// Pin keeps the version in force, or lets go of it.
func (s *Steward) Pin(on bool) { s.post(pin{on}) }

// Status tells how things stand; false when the steward has ended.
func (s *Steward) Status() (Status, bool) {
	got := make(chan Status, 1)
	s.post(ask{got})
	select {
	case st := <-got:
		return st, true
	case <-s.done:
		return Status{}, false
	}
}

// Document is the document of a version that is still kept; number -1 is the one in force.
func (s *Steward) Document(number int64) []byte {
	got := make(chan []byte, 1)
	s.post(read{number, got})
	select {
	case text := <-got:
		return text
	case <-s.done:
		return nil
	}
}

func (s *Steward) post(m any) {
	select {
	case s.mailbox <- m:
	case <-s.done:
	}
}

func (s *Steward) clock() versions.Seconds { return time.Since(s.base0).Seconds() }

// Run handles messages until ctx ends.
func (s *Steward) Run(ctx context.Context) {
	defer close(s.done)
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-s.mailbox:
			s.handle(m)
		}
	}
}

func (s *Steward) handle(m any) {
	switch m := m.(type) {
	case offered:
		s.offer(m.o)
	case done:
		if m.ready != nil {
			s.next = m.ready
		}
		s.feed(m.Done)
	case roster:
		s.roster = m.ids
		if !s.waits { // a roster may change many times a second
			s.waits = true
			time.AfterFunc(rosterPause, func() { s.post(recheck{}) })
		}
	case recheck:
		s.waits = false
		s.feed(versions.Roster{})
	case pin:
		if m.on {
			s.feed(versions.Pin{})
		} else {
			s.feed(versions.Unpin{})
		}
	case ask:
		st := s.life.Status()
		m.got <- Status{st, time.Duration((s.clock() - st.Since) * float64(time.Second))}
	case read:
		if m.number < 0 {
			m.number = s.life.Status().InForce.Number
		}
		m.got <- s.document(m.number)
	}
}

func (s *Steward) document(number int64) []byte {
	in := s.life.Status().InForce
	if in.Number == number {
		return s.docs[key{in.Number, in.Digest}]
	}
	for k, text := range s.docs {
		if k.number == number {
			return text
		}
	}
	return nil
}

// offer takes a document in.
func (s *Steward) offer(o Offer) {
	if len(o.Content) > MaxDocument {
		o.Answer(fmt.Sprintf("version %d holds %d bytes, %d are allowed", o.Number, len(o.Content), MaxDocument))
		return
	}
	if len(s.answers) >= answersMost {
		o.Answer("too many versions wait for their turn")
		return
	}
	s.lastID++
	v := versions.Offer{Source: o.Source, Nonce: strconv.Itoa(s.lastID), Number: o.Number,
		Digest: snapshot.Digest(o.Content), Rollback: o.Rollback}
	s.answers[v.Nonce] = o.Answer
	s.docs[key{v.Number, v.Digest}] = o.Content
	s.feed(v)
}

// feed hands one event to the life of versions and carries its actions out.
func (s *Steward) feed(ev versions.Event) {
	s.actions = s.life.Handle(s.clock(), ev, nil)
	for _, a := range s.actions {
		switch a := a.(type) {
		case versions.Check:
			s.check(a.Offer)
		case versions.Stage:
			s.stage(a.Offer)
		case versions.Save:
			s.save(a.Offer)
		case versions.Apply:
			s.apply(a.Offer)
		case versions.Drop:
			s.drop(a.Offer)
		case versions.Answer:
			s.answer(a)
		}
	}
}

func (s *Steward) answer(a versions.Answer) {
	if a.Reason == "" {
		s.log.Info("version in force", "number", a.Number)
	} else {
		s.log.Warn("version turned down", "number", a.Number, "why", a.Reason)
	}
	tell := s.answers[a.Nonce]
	if !s.life.Needs(a.Offer) || a.Reason == "" {
		delete(s.answers, a.Nonce)
	}
	if tell != nil {
		go tell(a.Reason) // whoever it is, the steward does not wait
	}
}

// drop lets go of a document, but for the last few, which operators compare.
func (s *Steward) drop(o versions.Offer) {
	k := key{o.Number, o.Digest}
	if s.life.Needs(o) || s.docs[k] == nil {
		return
	}
	s.old = append(s.old, k)
	for len(s.old) > oldDocuments || s.oldBytes() > oldBytes {
		if first := s.old[0]; !s.life.Needs(versions.Offer{Number: first.number, Digest: first.digest}) {
			delete(s.docs, first)
		}
		s.old = s.old[1:]
	}
}

func (s *Steward) oldBytes() (sum int) {
	for _, k := range s.old {
		sum += len(s.docs[k])
	}
	return sum
}

func finished(o versions.Offer, faults []string, waiting bool) versions.Done {
	return versions.Done{Number: o.Number, Digest: o.Digest, Faults: faults, Waiting: waiting}
}

// check reads a document and looks at it against what the gateway knows, beside its own work.
func (s *Steward) check(o versions.Offer) {
	content, known, now := s.docs[key{o.Number, o.Digest}], s.roster, s.now.o
	names := append([]string(nil), s.slots.PlanNames...)
	go func() {
		next, errs := s.reader.Read(content)
		var faults []string
		for _, err := range errs {
			faults = append(faults, err.Error())
		}
		if len(faults) == 0 {
			if err := next.Module.Check(); err != nil {
				faults = append(faults, err.Error())
			}
			faults = append(faults, s.plansTaken(now, next, names)...)
			faults = append(faults, s.front.InDoubt(next)...)
		}
		sound := len(faults) == 0
		if s.base.Discovery.Address != "" {
			for _, t := range next.Targets {
				if !known[t.ID] {
					faults = append(faults, fmt.Sprintf("target %s is not on the roster", t.ID))
				}
			}
		}
		s.post(done{finished(o, faults, sound && len(faults) > 0), &staged{o: next}})
	}()
}

// plansTaken names the plans that a version no longer has while customers in service use them.
func (s *Steward) plansTaken(now, next *config.Operator, names []string) (faults []string) {
	kept := map[string]bool{}
	for _, p := range next.Plans {
		kept[p.Name] = true
	}
	gone := false
	for _, p := range now.Plans {
		gone = gone || !kept[p.Name]
	}
	if !gone {
		return nil
	}
	by := map[string]int{}
	for number, n := range s.core.PlansInUse() {
		if number < len(names) {
			by[names[number]] += n
		}
	}
	for _, p := range now.Plans {
		if n := by[p.Name]; n > 0 && !kept[p.Name] {
			faults = append(faults, fmt.Sprintf("plan %s is taken away while %d customers in service use it; move them first", p.Name, n))
		}
	}
	return faults
}

// stage builds what the version needs; after it nothing can fail but the disk.
func (s *Steward) stage(o versions.Offer) {
	next := s.next
	go func() {
		view, err := s.front.NewView(next.o, nil, nil)
		var faults []string
		if err != nil {
			faults = []string{err.Error()}
		}
		s.post(done{finished(o, faults, false), &staged{next.o, view}})
	}()
}

func (s *Steward) save(o versions.Offer) {
	v, path := snapshot.Version{Number: o.Number, Content: s.docs[key{o.Number, o.Digest}]}, s.base.Versions.Snapshot
	go func() {
		var faults []string
		if err := snapshot.Save(path, v); err != nil {
			faults = []string{"it can't be saved, and would be lost with the next start: " + err.Error()}
		}
		s.post(done{finished(o, faults, false), nil})
	}()
}

// apply puts the staged version in force. New requests are decided under it from here on; those that are held end
// under the one they came in with, whose numbers stay for as long.
func (s *Steward) apply(o versions.Offer) {
	next := s.next
	classes, customers, plans := s.front.Classes(), s.core.PlansInUse(), s.front.Plans()
	c, p, from := s.slots.Take(next.o, func(n int) bool { return classes[n] },
		func(n int) bool { return plans[n] || customers[n] > 0 })
	s.core.Reconfigure(control.Reconfigured{
		Classes: append([]control.Class(nil), s.slots.Classes...),
		Plans:   append([]control.Plan(nil), s.slots.Plans...), From: from,
	})
	next.view.Number(c, p)
	s.core.Name(slices.Clone(s.slots.ClassNames))
	s.front.Install(next.view)
	s.targets(next.o)
	s.now, s.next = next, nil
	s.leave(done{finished(o, nil, false), nil})
}

// leave is post by those who must not wait: the steward itself, and who tells of the roster.
func (s *Steward) leave(m any) {
	select {
	case s.mailbox <- m:
	default:
		go s.post(m)
	}
}
