package core

import (
	"time"

	"junctionring/control"
	"junctionring/sites"
)

// mail is a message in the core's mailbox.
type mail struct {
	message  any
	postedAt time.Time
}

type (
	exchangeOpened struct{ h *heldExchange }
	clientGone     struct{ h *heldExchange }
	bodySent       struct{ h *heldExchange }
	deadlinePassed struct{ h *heldExchange }
	attemptEnded   struct {
		h       *heldExchange
		attempt int
		target  string
		sentAt  time.Time
		elapsed control.Seconds
		Outcome
	}
	linkProbed struct { // a probe of the link to a site
		target  string
		status  control.Status
		elapsed control.Seconds
	}
	sitesReport  struct{ reply chan sites.Report }
	plansInUse   struct{ reply chan map[int]int }
	reconfigured struct {
		control.Reconfigured
		done chan struct{}
	}
	flush      struct{ done chan struct{} }
	shedAll    struct{}
	flushUnits struct{ done chan struct{} }
)
