// Package configuration runs the actor that drives the lifecycle of configuration versions: it checks, stages, saves
// and applies offered documents, and reports the outcome to whoever offered them. It owns the documents of these
// versions, the numbers of classes and plans in the core, and the snapshot of the last good version on disk. It does
// not decide which versions are accepted: package versions and the checks of package config do.
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

// MaxDocument is the maximum size of a version's document, in bytes.
const MaxDocument = 8 << 20

const (
	mailboxSize        = 1024
	maxPendingAnswers  = 4096 // offers whose answer is pending or may be followed by a second one
	rosterRecheckDelay = 200 * time.Millisecond
)

// Offer is a request to put a document in force as a version.
type Offer struct {
	Number   int64
	Content  []byte
	Rollback bool
	Source   int          // a source as defined in package versions
	Answer   func(string) // receives "" once in force, else the reason; called again after a wait for the roster
}

// Status is the state of the lifecycle and the age of the version in force.
type Status struct {
	versions.Status
	Age time.Duration // how long the version has been in force
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

// Manager is the actor. Run handles its messages; the other exported methods may be called from any goroutine. The
// fields from lifecycle on belong to the goroutine of Run.
type Manager struct {
	base    *config.Operator // the configuration that the gateway was started with
	reader  *config.VersionReader
	core    *core.Core
	front   *forwardauth.Front
	onApply func(*config.Operator) // called with each version that is applied
	log     *slog.Logger

	mailbox chan any
	stopped chan struct{}
	started time.Time

	lifecycle      *versions.Lifecycle
	slots          config.Slots
	documents      map[documentKey][]byte
	retained       []documentKey // documents that the lifecycle no longer needs, oldest first
	pendingAnswers map[string]func(string)
	lastNonce      int
	current        *staged // in force
	candidate      *staged // the checked or staged version that is not yet in force
	roster         map[string]bool
	recheckPending bool // a recheck is scheduled after a change of the roster
	actions        []versions.Action
}

// New returns the manager of a gateway that was started with base. The first version in force is effective: either
// base itself, with number 0, or the version from the snapshot.
func New(base, effective *config.Operator, number int64, content []byte, c *core.Core, f *forwardauth.Front,
	onApply func(*config.Operator), log *slog.Logger) *Manager {
	m := &Manager{
		base: base, reader: config.NewVersionReader(base), core: c, front: f, onApply: onApply, log: log,
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

// Offer queues a document and returns at once; the outcome is passed to o.Answer. If the mailbox is full, the document
// is rejected.
func (m *Manager) Offer(o Offer) {
	select {
	case m.mailbox <- offerMessage{o}:
	default:
		go o.Answer("the gateway is busy with other versions")
	}
}

// SetRoster reports which targets the roster lists. It does not block.
func (m *Manager) SetRoster(ids map[string]bool) { m.postAsync(rosterMessage{ids}) }

// Pin pins the version in force, so that no offer replaces it, or unpins it.
func (m *Manager) Pin(on bool) { m.post(pinMessage{on}) }

// Status returns the current status, or false if Run has returned.
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

// Document returns the document of a version, or nil if it is no longer held. Number -1 means the version in force.
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

// Run handles messages until ctx is done.
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
		if !m.recheckPending { // the roster may change many times a second, so rechecks are batched
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

// handleOffer registers a document and its answer callback and passes the offer to the lifecycle.
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

// postAsync posts a message without blocking, for callers that must not wait: the manager itself and SetRoster.
func (m *Manager) postAsync(message any) {
	select {
	case m.mailbox <- message:
	default:
		go m.post(message)
	}
}

// handleEvent passes one event to the lifecycle and carries out the actions that it returns.
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
		m.log.Warn("version rejected", "number", a.Number, "why", a.Reason)
	}
	notify := m.pendingAnswers[a.Nonce]
	if !m.lifecycle.Needs(a.Offer) || a.Reason == "" {
		delete(m.pendingAnswers, a.Nonce)
	}
	if notify != nil {
		go notify(a.Reason) // the callback may block, and the manager must not
	}
}
