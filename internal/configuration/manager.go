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
	mailboxSize        = 1024
	maxPendingAnswers  = 4096 // offers whose answer is pending or may come again
	rosterRecheckDelay = 200 * time.Millisecond
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
	offerMessage struct{ o Offer }
	stepResult   struct {
		versions.Done
		candidate *staged
	}
	rosterMessage   struct{ ids map[string]bool }
	recheckMessage  struct{}
	pinMessage      struct{ on bool }
	statusRequest   struct{ reply chan Status }
	documentRequest struct {
		number int64
		reply  chan []byte
	}
)

// Manager is the actor. Run runs it; the other methods may be called from anywhere.
type Manager struct {
	base    *config.Operator // what the gateway was started with
	reader  *config.VersionReader
	core    *core.Core
	front   *forwardauth.Front
	onApply func(*config.Operator) // told of each version that comes into force
	log     *slog.Logger

	mailbox chan any
	stopped chan struct{}
	started time.Time

	lifecycle      *versions.Lifecycle
	slots          config.Slots
	documents      map[documentKey][]byte
	retained       []documentKey // documents that are kept though no version needs them, oldest first
	pendingAnswers map[string]func(string)
	lastNonce      int
	current        *staged // in force
	candidate      *staged // checked or staged, of the version on its way
	roster         map[string]bool
	recheckPending bool // for the pause after a change of the roster
	actions        []versions.Action
}

// New makes the manager of a gateway that was started with base and begins with effective: base itself (number 0),
// or what was found in its snapshot.
func New(base, effective *config.Operator, number int64, content []byte, c *core.Core, f *forwardauth.Front,
	targets func(*config.Operator), log *slog.Logger) *Manager {
	m := &Manager{
		base: base, reader: config.NewVersionReader(base), core: c, front: f, onApply: targets, log: log,
		mailbox: make(chan any, mailboxSize), stopped: make(chan struct{}), started: time.Now(),
		documents: map[documentKey][]byte{}, pendingAnswers: map[string]func(string){},
		current: &staged{operator: effective},
	}
	first := versions.Offer{Source: versions.FromDisk, Number: number, Digest: snapshot.Digest(content)}
	m.documents[documentKey{first.Number, first.Digest}] = content
	m.lifecycle = versions.New(0, first, base.Versions.Snapshot != "")
	m.slots.Assign(effective, func(int) bool { return true }, func(int) bool { return true })
	c.SetClassNames(slices.Clone(m.slots.ClassNames))
	return m
}

// Offer hands a document over; its answer comes through it.
func (m *Manager) Offer(o Offer) {
	select {
	case m.mailbox <- offerMessage{o}:
	default:
		go o.Answer("the gateway is busy with other versions")
	}
}

// SetRoster tells which targets the roster names. It does not wait.
func (m *Manager) SetRoster(ids map[string]bool) { m.postAsync(rosterMessage{ids}) }

// Pin keeps the version in force, or lets go of it.
func (m *Manager) Pin(on bool) { m.post(pinMessage{on}) }

// Status tells how things stand; false when the manager has ended.
func (m *Manager) Status() (Status, bool) {
	got := make(chan Status, 1)
	m.post(statusRequest{got})
	select {
	case st := <-got:
		return st, true
	case <-m.stopped:
		return Status{}, false
	}
}

// Document is the document of a version that is still kept; number -1 is the one in force.
func (m *Manager) Document(number int64) []byte {
	got := make(chan []byte, 1)
	m.post(documentRequest{number, got})
	select {
	case text := <-got:
		return text
	case <-m.stopped:
		return nil
	}
}

func (m *Manager) post(message any) {
	select {
	case m.mailbox <- message:
	case <-m.stopped:
	}
}

func (m *Manager) elapsed() versions.Seconds { return time.Since(m.started).Seconds() }

// Run handles messages until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	defer close(m.stopped)
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
	case offerMessage:
		m.handleOffer(message.o)
	case stepResult:
		if message.candidate != nil {
			m.candidate = message.candidate
		}
		m.handleEvent(message.Done)
	case rosterMessage:
		m.roster = message.ids
		if !m.recheckPending { // a roster may change many times a second
			m.recheckPending = true
			time.AfterFunc(rosterRecheckDelay, func() { m.post(recheckMessage{}) })
		}
	case recheckMessage:
		m.recheckPending = false
		m.handleEvent(versions.Roster{})
	case pinMessage:
		if message.on {
			m.handleEvent(versions.Pin{})
		} else {
			m.handleEvent(versions.Unpin{})
		}
	case statusRequest:
		st := m.lifecycle.Status()
		message.reply <- Status{st, time.Duration((m.elapsed() - st.Since) * float64(time.Second))}
	case documentRequest:
		if message.number < 0 {
			message.number = m.lifecycle.Status().InForce.Number
		}
		message.reply <- m.document(message.number)
	}
}

// offer takes a document in.
func (m *Manager) handleOffer(o Offer) {
	if len(o.Content) > MaxDocument {
		o.Answer(fmt.Sprintf("version %d holds %d bytes, %d are allowed", o.Number, len(o.Content), MaxDocument))
		return
	}
	if len(m.pendingAnswers) >= maxPendingAnswers {
		o.Answer("too many versions wait for their turn")
		return
	}
	m.lastNonce++
	v := versions.Offer{Source: o.Source, Nonce: strconv.Itoa(m.lastNonce), Number: o.Number,
		Digest: snapshot.Digest(o.Content), Rollback: o.Rollback}
	m.pendingAnswers[v.Nonce] = o.Answer
	m.documents[documentKey{v.Number, v.Digest}] = o.Content
	m.handleEvent(v)
}

// leave is post by those who must not wait: the manager itself, and who tells of the roster.
func (m *Manager) postAsync(message any) {
	select {
	case m.mailbox <- message:
	default:
		go m.post(message)
	}
}

// feed hands one event to the life of versions and carries its actions out.
func (m *Manager) handleEvent(ev versions.Event) {
	m.actions = m.lifecycle.Handle(m.elapsed(), ev, nil)
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
			m.releaseDocument(a.Offer)
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
	notify := m.pendingAnswers[a.Nonce]
	if !m.lifecycle.Needs(a.Offer) || a.Reason == "" {
		delete(m.pendingAnswers, a.Nonce)
	}
	if notify != nil {
		go notify(a.Reason) // whoever it is, the manager does not wait
	}
}
