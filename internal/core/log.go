package core

import (
	"log/slog"

	"junctionring/control"
)

// logUnserved logs the final answer of an exchange that was not served.
func (c *Core) logUnserved(h *heldExchange, a Answer) {
	if a.Kind == Served || a.Kind == Allowed || !c.log.Enabled(c.ctx, slog.LevelDebug) {
		return
	}
	c.log.Debug("exchange not served", "id", h.id, "request_id", h.RequestID, "class", h.Class, "kind", a.Kind,
		"over_quota", a.OverQuota, "may_have_run", a.MayHaveRun, "attempts", len(h.cancels), "in_flight", a.AttemptsOut)
}

// logFailedAttempt logs an attempt that was not answered with success, the reason for a retry.
func (c *Core) logFailedAttempt(e attemptEnded) {
	if e.Status == control.OK || !c.log.Enabled(c.ctx, slog.LevelDebug) {
		return
	}
	c.log.Debug("attempt failed", "id", e.h.id, "request_id", e.h.RequestID, "attempt", e.attempt, "target", e.target,
		"status", e.Status, "written", e.Written, "after", e.elapsed)
}
