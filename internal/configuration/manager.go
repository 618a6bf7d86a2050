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

	"junctionring/internal/config"
	"junctionring/internal/core"
	"junctionring/internal/forwardauth"
	"junctionring/internal/snapshot"
	"junctionring/versions"
)

// MaxDocument is the most that a version's document may hold, in bytes.
const MaxDocument = 8 << 20

const (
	mailboxSize = 1024
	answersMost = 4096 // offers whose answer is pending or may come again
	rosterPause = 200 * time.Millisecond
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

// Manager is the actor. Run runs it; the other methods may be called from anywhere.
type Manager struct {
	base    *config.Operator // what the gateway was started with
	reader  *config.VersionReader
	core    *core.Core
	front   *forwardauth.Front
	targets func(*config.Operator) // told of each version that comes into force
	log     *slog.Logger

	mailbox chan any
	done    chan struct{}
	started time.Time

	life      *versions.Lifecycle
	slots     config.Slots
	documents map[key][]byte
	old       []key // documents that are kept though no version needs them, oldest first
	answers   map[string]func(string)
	lastID    int
	now       *staged // in force
	next      *staged // checked or staged, of the version on its way
	roster    map[string]bool
	waits     bool // for the pause after a change of the roster
	actions   []versions.Action
}

// New makes the manager of a gateway that was started with base and begins with effective: base itself (number 0),
// or what was found in its snapshot.
func New(base, effective *config.Operator, number int64, content []byte, c *core.Core, f *forwardauth.Front,
	targets func(*config.Operator), log *slog.Logger) *Manager {
	m := &Manager{
		base: base, reader: config.NewVersionReader(base), core: c, front: f, targets: targets, log: log,
		mailbox: make(chan any, mailboxSize), done: make(chan struct{}), started: time.Now(),
		documents: map[key][]byte{}, answers: map[string]func(string){},
		now: &staged{o: effective},
	}
	first := versions.Offer{Source: versions.FromDisk, Number: number, Digest: snapshot.Digest(content)}
	m.documents[key{first.Number, first.Digest}] = content
	m.life = versions.New(0, first, base.Versions.Snapshot != "")
	m.slots.Take(effective, func(int) bool { return true }, func(int) bool { return true })
	c.SetClassNames(slices.Clone(m.slots.ClassNames))
	return m
}

// Offer hands a document over; its answer comes through it.
func (m *Manager) Offer(o Offer) {
	select {
	case m.mailbox <- offered{o}:
	default:
		go o.Answer("the gateway is busy with other versions")
	}
}

// Roster tells which targets the roster names. It does not wait.
func (m *Manager) Roster(ids map[string]bool) { m.leave(roster{ids}) }

// Pin keeps the version in force, or lets go of it.
func (m *Manager) Pin(on bool) { m.post(pin{on}) }

// Status tells how things stand; false when the manager has ended.
func (m *Manager) Status() (Status, bool) {
	got := make(chan Status, 1)
	m.post(ask{got})
	select {
	case st := <-got:
		return st, true
	case <-m.done:
		return Status{}, false
	}
}

// Document is the document of a version that is still kept; number -1 is the one in force.
func (m *Manager) Document(number int64) []byte {
	got := make(chan []byte, 1)
	m.post(read{number, got})
	select {
	case text := <-got:
		return text
	case <-m.done:
		return nil
	}
}

func (m *Manager) post(message any) {
	select {
	case m.mailbox <- message:
	case <-m.done:
	}
}

func (m *Manager) clock() versions.Seconds { return time.Since(m.started).Seconds() }

// Run handles messages until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	defer close(m.done)
	for {
		select {
		case <-ctx.Done():
			return
		case message := <-m.mailbox:
			m.handle(message)
		}
	}
}

func (m *Manager) handle(message any) {
	switch message := message.(type) {
	case offered:
		m.offer(message.o)
	case done:
		if message.ready != nil {
			m.next = message.ready
		}
		m.feed(message.Done)
	case roster:
		m.roster = message.ids
		if !m.waits { // a roster may change many times a second
			m.waits = true
			time.AfterFunc(rosterPause, func() { m.post(recheck{}) })
		}
	case recheck:
		m.waits = false
		m.feed(versions.Roster{})
	case pin:
		if message.on {
			m.feed(versions.Pin{})
		} else {
			m.feed(versions.Unpin{})
		}
	case ask:
		st := m.life.Status()
		message.got <- Status{st, time.Duration((m.clock() - st.Since) * float64(time.Second))}
	case read:
		if message.number < 0 {
			message.number = m.life.Status().InForce.Number
		}
		message.got <- m.document(message.number)
	}
}

// offer takes a document in.
func (m *Manager) offer(o Offer) {
	if len(o.Content) > MaxDocument {
		o.Answer(fmt.Sprintf("version %d holds %d bytes, %d are allowed", o.Number, len(o.Content), MaxDocument))
		return
	}
	if len(m.answers) >= answersMost {
		o.Answer("too many versions wait for their turn")
		return
	}
	m.lastID++
	v := versions.Offer{Source: o.Source, Nonce: strconv.Itoa(m.lastID), Number: o.Number,
		Digest: snapshot.Digest(o.Content), Rollback: o.Rollback}
	m.answers[v.Nonce] = o.Answer
	m.documents[key{v.Number, v.Digest}] = o.Content
	m.feed(v)
}

// leave is post by those who must not wait: the manager itself, and who tells of the roster.
func (m *Manager) leave(message any) {
	select {
	case m.mailbox <- message:
	default:
		go m.post(message)
	}
}

// feed hands one event to the life of versions and carries its actions out.
func (m *Manager) feed(ev versions.Event) {
	m.actions = m.life.Handle(m.clock(), ev, nil)
	for _, a := range m.actions {
		switch a := a.(type) {
		case versions.Check:
			m.check(a.Offer)
		case versions.Stage:
			m.stage(a.Offer)
		case versions.Save:
			m.save(a.Offer)
		case versions.Apply:
			m.apply(a.Offer)
		case versions.Drop:
			m.drop(a.Offer)
		case versions.Answer:
			m.answer(a)
		}
	}
}

func (m *Manager) answer(a versions.Answer) {
	if a.Reason == "" {
		m.log.Info("version in force", "number", a.Number)
	} else {
		m.log.Warn("version turned down", "number", a.Number, "why", a.Reason)
	}
	tell := m.answers[a.Nonce]
	if !m.life.Needs(a.Offer) || a.Reason == "" {
		delete(m.answers, a.Nonce)
	}
	if tell != nil {
		go tell(a.Reason) // whoever it is, the manager does not wait
	}
}
