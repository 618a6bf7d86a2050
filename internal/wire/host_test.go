package wire

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
)

const setupJSON = `{"Balancers":2,"Ordinal":0,"Zone":0,"Discovery":"automatic","NoSuchKey":[1,{"a":2}],` +
	`"RequestClasses":[{"Aim":1,"HardLimit":3,"Worth":2,"Repeat":"read_like","Name":"x"},` +
	`{"Aim":1,"HardLimit":3,"Worth":2,"Repeat":"idempotency_key","Group":"zone","Window":2}],` +
	`"Plans":[{"PerSecond":2,"PeakUnits":8,"WorthFactor":1,"ExcessCost":1}],` +
	`"Limits":{"MaxAttempts":3,"Cancelling":true,"RetryAfter":true,"MaxRetryAfter":1},` +
	`"Domain":{"MayCount":true,"CountLimit":0.05},"LoadInfo":{"Fields":["q"],"Via":"answers"},` +
	`"Guarantees":{"ColdFrom":0.2,"RampTime":5,"OverloadFactor":2,"OverloadFor":1}}`

// setupBatch returns a batch that configures instance 7 and gives it one server.
func setupBatch() string {
	return `["Clock",5,1]` + "\n" +
		`["Configure",7,99,` + setupJSON + "]\n" +
		`["Inventory",3,[[1,"worker-a",0,null,0,0,"active"]]]` + "\n" +
		`["Announce",7,"disk",1,3]` + "\n" + `["Commit"]` + "\n"
}

func serve(t *testing.T, in string) (string, error) {
	t.Helper()
	var out bytes.Buffer
	err := Serve(strings.NewReader(in), &out)
	return out.String(), err
}

func TestServeAnswersEachBatchOnce(t *testing.T) {
	in := setupBatch() +
		`["Clock",5.004,2]` + "\n" + `["NewRequest",7,11,0,0,4242,2.5,1,2,0,0]` + "\n" + `["Commit"]` + "\n" +
		`["Clock",5.1,3]` + "\n" + `["Ended",7,11,0,0,0,true,"worker-a",0,0.096,[2]]` + "\n" + `["Commit"]` + "\n" +
		`["Clock",6.9,4]` + "\n" + `["Wake",7,0]` + "\n" + `["Commit"]` + "\n" +
		`["Clock",7,5]` + "\n" + `["Down",7]` + "\n" + `["Commit"]` + "\n"
	out, err := serve(t, in)
	if err != nil {
		t.Fatal(err)
	}
	for turn := 1; turn <= 5; turn++ {
		if n := strings.Count(out, fmt.Sprintf("[\"Finished\",%d]\n", turn)); n != 1 {
			t.Errorf("batch %d was finished %d times, want once:\n%s", turn, n, out)
		}
	}
	if !strings.Contains(out, `["Try",7,11,"worker-a",`) {
		t.Errorf("no attempt was sent for the request:\n%s", out)
	}
	if !strings.Contains(out, `["AddTo",7,`) {
		t.Errorf("nothing was added to the counter:\n%s", out)
	}
}

func TestServeTakesEveryEvent(t *testing.T) {
	in := setupBatch() + `["Clock",5.01,2]` + "\n"
	for _, line := range []string{
		`["HeadReceived",7,11,"worker-a",0,0.01]`,
		`["Ended",7,11,0,0,13,false,"worker-a",0,0.01,null]`,
		`["Vanished",7,11]`,
		`["Wake",7,0]`,
		`["StatusBack",7,0.001,0,"worker-a",[3]]`,
		`["NoteFrom",7,1,"hi \u00e9"]`,
		`["Reckoned",7,123,8,null,0.001]`,
		`["Announce",7,"error",1,null]`,
	} {
		in += line + "\n"
	}
	out, err := serve(t, in+`["Commit"]`+"\n")
	if err != nil {
		t.Fatal(err)
	}
	if !strings.HasSuffix(out, "[\"Finished\",2]\n") || strings.Contains(out, `"Bug"`) {
		t.Errorf("unexpected reply:\n%s", out)
	}
}

func TestServeNamesWhatIsMalformed(t *testing.T) {
	for _, c := range []struct{ name, lines, want string }{
		{"not json", `["Clock",`, "line 6: not a message"},
		{"not an array", `{"a":1}`, "line 6: not a message"},
		{"empty", `[]`, "line 6: an empty message"},
		{"outside a batch", `["Wake",7,1]`, "line 6: Wake: outside a batch"},
		{"clock twice", `["Clock",6,2]` + "\n" + `["Clock",6,3]`, "line 7: Clock: a batch is already open"},
		{"unknown message", `["Clock",6,2]` + "\n" + `["Jump",7]`, "line 7: Jump: no such message"},
		{"unknown instance", `["Clock",6,2]` + "\n" + `["Wake",8,1]`, "line 7: Wake: instance 8"},
		{"missing value", `["Clock",6,2]` + "\n" + `["Wake",7]`, "line 7: Wake: Nonce is missing"},
		{"wrong type", `["Clock",6,2]` + "\n" + `["Wake",7,"x"]`, "line 7: Wake: Nonce"},
		{"unknown status", `["Clock",6,2]` + "\n" + `["Reckoned",7,1,77,0,0]`, "disposition 77 is not known"},
		{"unknown list", `["Clock",6,2]` + "\n" + `["Announce",7,"diff",1,9]`, "list 9 was never sent"},
		{"cut short", `["Clock",6,2]`, "the input ends inside a batch"},
		{"bad settings", `["Clock",6,2]` + "\n" + `["Configure",9,1,{"Balancers":1}]`, "no classes"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := serve(t, setupBatch()+c.lines+"\n")
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("got %v, want an error with %q", err, c.want)
			}
		})
	}
}

// Instances are independent: messages to one instance must not change the actions of another.
func TestInstancesShareNothing(t *testing.T) {
	requests := func(who int) string {
		var b strings.Builder
		for i := range 40 {
			fmt.Fprintf(&b, "[\"NewRequest\",%d,%d,0,0,%d,2.5,1,2,0,0]\n", who, i, i%3)
		}
		return b.String()
	}
	configure := func(who int) string {
		return fmt.Sprintf("[\"Configure\",%d,99,%s]\n[\"Announce\",%d,\"disk\",1,3]\n", who, setupJSON, who)
	}
	list := `["Inventory",3,[[1,"worker-a",0,null,0,0,"active"],[1,"worker-b",0,null,0,0,"active"]]]` + "\n"
	alone, err := serve(t, "[\"Clock\",5,1]\n"+list+configure(1)+requests(1)+"[\"Commit\"]\n")
	if err != nil {
		t.Fatal(err)
	}
	both, err := serve(t, "[\"Clock\",5,1]\n"+list+configure(1)+configure(2)+requests(2)+requests(1)+"[\"Commit\"]\n")
	if err != nil {
		t.Fatal(err)
	}
	var fromFirst []string
	for _, line := range strings.SplitAfter(both, "\n") {
		if strings.Contains(line, `",1,`) && !strings.HasPrefix(line, `["Finished"`) {
			fromFirst = append(fromFirst, line)
		}
	}
	if got := strings.Join(fromFirst, "") + "[\"Finished\",1]\n"; got != alone {
		t.Errorf("instance 1 acts differently if there is a second instance:\nalone:\n%s\nwith the second:\n%s", alone, got)
	}
}

func FuzzServe(f *testing.F) {
	f.Add(setupBatch())
	f.Add(setupBatch() + `["Clock",6,2]` + "\n" + `["NewRequest",7,11,0,0,4242,2.5,1,2,0,0]` + "\n" + `["Commit"]` + "\n")
	f.Add("[\"Clock\",1e300,1]\n[\"Commit\"]\n")
	f.Fuzz(func(t *testing.T, in string) {
		var out bytes.Buffer
		err := Serve(strings.NewReader(in), &out) // must not panic
		if err == nil && strings.Count(out.String(), `["Finished"`) != strings.Count(out.String(), "\n[\"Finished\"")+
			boolInt(strings.HasPrefix(out.String(), `["Finished"`)) {
			t.Errorf("a reply is not on a line of its own:\n%s", out.String())
		}
		if strings.Contains(out.String(), `["Bug"`) {
			t.Errorf("the decision module panicked:\n%s", out.String())
		}
	})
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
