package telemetry

import (
	"bytes"
	"testing"
)

// Every metric is written, starting at 0. A class keeps its counters under its name when class numbers change and
// also when the class is removed. A class number out of range has no counters.
func TestFiguresKeepTheirNames(t *testing.T) {
	f := New("svc")
	f.SetClasses([]string{"view", "move"})
	f.Class(1).Success.Add(3)
	f.Class(0).Dispatches.Add(2)
	f.SetClasses([]string{"view", "move", "view-ii", "move"}) // the rules of move changed: it has two numbers and one name
	f.Class(3).Success.Add(1)
	f.Class(2).Overload.Add(1)
	if f.Class(9) != nil || f.Class(-1) != nil {
		t.Error("a class number out of range has counters")
	}
	f.Concurrent.Add(-1) // an end may be counted before its start; the gauge is never written below 0
	f.ReloadFailure.Add(1)
	f.Unread = func() int64 { return 2 }
	var b bytes.Buffer
	f.WriteTo(&b)
	want := "svc.replies.view.success:0|c\nsvc.replies.view.overload:0|c\nsvc.replies.view.error:0|c\nsvc.replies.view.dispatches:2|c\nsvc.replies.view.late:0|c\n" +
		"svc.replies.move.success:4|c\nsvc.replies.move.overload:0|c\nsvc.replies.move.error:0|c\nsvc.replies.move.dispatches:0|c\nsvc.replies.move.late:0|c\n" +
		"svc.replies.view-ii.success:0|c\nsvc.replies.view-ii.overload:1|c\nsvc.replies.view-ii.error:0|c\nsvc.replies.view-ii.dispatches:0|c\nsvc.replies.view-ii.late:0|c\n" +
		"svc.concurrent:0|g\nsvc.targets:0|g\nsvc.targets_disabled:0|g\nsvc.reload_success:0|c\nsvc.reload_failure:1|c\nsvc.answers_unread:2|c\n"
	if b.String() != want {
		t.Errorf("written:\n%s\nwant:\n%s", b.String(), want)
	}
}
