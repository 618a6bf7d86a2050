package telemetry

import (
	"bytes"
	"testing"
)

// Every figure is written from 0; a class keeps its counts under its name when numbers change, also when it is
// no longer named; a number out of range counts into nothing.
func TestFiguresKeepTheirNames(t *testing.T) {
	f := New("svc")
	f.SetClasses([]string{"view", "move"})
	f.Class(1).Success.Add(3)
	f.Class(0).Dispatches.Add(2)
	f.SetClasses([]string{"view", "move", "view-ii", "move"}) // move changed its rules: a second number, one name
	f.Class(3).Success.Add(1)
	f.Class(2).Overload.Add(1)
	if f.Class(9) != nil || f.Class(-1) != nil {
		t.Error("a number out of range has counts")
	}
	f.Concurrent.Add(-1) // a moment's skew between taking and ending is never written below 0
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
