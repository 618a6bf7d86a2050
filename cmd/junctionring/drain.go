package main

import (
	"context"
	"log/slog"
	"os"
	"time"

	"junctionring/internal/core"
	"junctionring/internal/front"
	"junctionring/internal/handoff"
	"junctionring/shutdown"
)

// service is a process that serves, up to its end.
type service struct {
	core        *core.Core
	server      *front.Server
	sockets     *listeners
	connections int                                // of clients, at most
	plan        func(told time.Time) shutdown.Plan // of its end
	log         *slog.Logger
	wordWait    func(time.Duration) string // for Retry-After

	predecessor *handoff.Predecessor
}

// serve takes connections until ctx ends, then hands them to a successor, or drains by the plan.
func (s *service) serve(ctx, work context.Context) error {
	if ctx.Err() != nil {
		return nil // told to end before anything was taken
	}
	l, err := s.sockets.listen(s.sockets.addresses[0])
	if err != nil {
		return err
	}
	failed := make(chan error, 1)
	go func() { failed <- s.server.Serve(l, s.connections) }()
	s.core.Settle()
	s.server.MarkReady()
	adopts, enough := context.WithCancel(work)
	defer enough()
	s.predecessor = handoff.NewPredecessor(os.TempDir(), s.sockets.addresses[0], s.sockets.open, s.log)
	s.adopt(adopts)
	go s.predecessor.Run(work)
	s.log.Info("serving", "listen", l.Addr().String())
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	told := timeTold(ctx)
	s.end(told, s.plan(told), enough)
	return nil
}

// timeTold is when the process was told to end.
func timeTold(ctx context.Context) time.Time {
	if at, ok := context.Cause(ctx).(toldAt); ok {
		return at.Time
	}
	return time.Now()
}

// adopt takes over the connections of the process that this one replaces.
func (s *service) adopt(ctx context.Context) {
	if s.sockets.successor == nil {
		return
	}
	go func() {
		if err := s.sockets.successor.Run(ctx, s.server.Adopt); err != nil {
			s.log.Warn("handover: broken off", "err", err)
		}
	}()
}

// end hands all to a successor, or drains by the plan. enough ends the adoption of connections.
func (s *service) end(told time.Time, due shutdown.Plan, enough func()) {
	s.log.Info("draining", "close", due.Close, "stop", due.Stop, "shed", due.Shed)
	drain, done := context.WithDeadline(context.Background(), told.Add(due.Shed))
	defer done()
	if s.handOver(drain, told.Add(due.Close)) {
		s.finish()
		return
	}
	// What the process before this one has left is better kept by it from here on: it learns of that by the link's end.
	time.AfterFunc(time.Until(told.Add(due.Close)), enough)
	if err := s.server.Drain(drain, told.Add(due.Close), told.Add(due.Stop)); err == nil {
		s.finish()
		return
	}
	s.shed(told)
}

// handOver gives every connection to a successor; false: there is none, or it did not take all. One that asked and does
// not serve yet is waited for until latest.
func (s *service) handOver(drain context.Context, latest time.Time) bool {
	begun, alone, lost := s.predecessor.NotifyShutdown()
	wait, waited := context.WithDeadline(drain, latest)
	defer waited()
	select {
	case <-begun:
	case <-alone:
		return false
	case <-wait.Done():
		return false
	}
	if err := s.server.HandOver(drain, s.predecessor.Transfer, lost); err != nil {
		s.log.Warn("handover: not all could be handed over", "err", err)
		return false
	}
	s.log.Info("handover: done")
	return true
}

// shed gives all that is still held its last answer, and adds what was used to the counter meanwhile. Answers that are
// being passed on by then are finished: nothing but a kill has to cut them.
func (s *service) shed(told time.Time) {
	s.log.Warn("not all held exchanges ended in time: the rest is shed")
	s.core.Shed()
	s.server.Shed(s.shedAdvice())
	added := make(chan struct{})
	go func() { // no more is used from here on
		defer close(added)
		s.finish()
	}()
	err := s.drainAtOnce(told)
	if err != nil && s.server.FinishAnswers() {
		err = s.drainAtOnce(told)
	}
	if err != nil {
		s.log.Warn("connections are cut: their clients neither read nor went", "err", err)
		s.server.LogUnanswered()
	}
	<-added
}

// drainAtOnce gives the answers of a process that has shed its requests the time to reach their clients.
func (s *service) drainAtOnce(told time.Time) error {
	last, over := context.WithTimeout(context.Background(), shutdown.FinalAnswersTime)
	defer over()
	return s.server.Drain(last, told, told)
}

// shedAdvice is the Retry-After of what is shed; empty: none.
func (s *service) shedAdvice() string {
	if wait := s.core.RetryAfter(); wait > 0 {
		return s.wordWait(wait)
	}
	return ""
}

// finish adds to the counter what this process has used, before it ends.
func (s *service) finish() {
	last, done := context.WithTimeout(context.Background(), shutdown.FinalUnitsTime)
	defer done()
	if err := s.core.FlushUnits(last); err != nil {
		s.log.Warn("quota", "err", err)
	}
}
