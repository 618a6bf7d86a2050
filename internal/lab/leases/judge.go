package leases

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"math"
	"os"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"
)

// Verdict is what the record says of a run.
type Verdict struct {
	Acts, Refused int // let in, and turned away by their token
	Grants        int
	Broken        []string // what must not be
	History       string   // of asks and answers: ok, refused by the checker, or not checked to its end
	Waits         []time.Duration
}

func readEvents(path string) (all []Event, err error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	in := bufio.NewScanner(f)
	for in.Scan() {
		var e Event
		if json.Unmarshal(in.Bytes(), &e) == nil { // the last line of one that was killed may be cut
			all = append(all, e)
		}
	}
	return all, in.Err()
}

// span is a time in which a process did not run, or was not there any more.
type span struct {
	who      string
	from, to time.Duration
}

// judge looks at the resource's record and the contenders' histories. away are the times in which contenders were
// stopped or dead, as the rig knows: only acts begun before those may come late.
func judge(record, history []Event, away []span, late time.Duration) (v Verdict) {
	broken := func(format string, args ...any) {
		if len(v.Broken) < 20 {
			v.Broken = append(v.Broken, fmt.Sprintf(format, args...))
		}
	}
	slices.SortStableFunc(record, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	highest, holder := map[string]uint64{}, map[string]map[uint64]string{}
	for _, e := range record {
		if !e.OK {
			v.Refused++
			excused := slices.ContainsFunc(away, func(s span) bool {
				return s.who == e.Who && s.from <= e.At && e.At <= s.to+late
			})
			if !excused {
				broken("%s acted on %s under token %d at %v, overtaken by %d, and had not been stopped", e.Who, e.Lease, e.Token, e.At, e.Seen)
			}
			continue
		}
		v.Acts++
		if e.Token < highest[e.Lease] {
			broken("%s: token %d of %s was let in after %d", e.Lease, e.Token, e.Who, highest[e.Lease])
		}
		highest[e.Lease] = max(highest[e.Lease], e.Token)
		if holder[e.Lease] == nil {
			holder[e.Lease] = map[uint64]string{}
		}
		if who := holder[e.Lease][e.Token]; who != "" && who != e.Who {
			broken("%s: token %d is both %s's and %s's", e.Lease, e.Token, who, e.Who)
		}
		holder[e.Lease][e.Token] = e.Who
	}
	v.linearise(history, away)
	return v
}

// asked is the input of an operation on a lease; its token 0: it is not known whether or under which it was given.
type asked struct {
	lease, who string
	free       bool
	token      uint64
}

type held struct {
	who   string
	token uint64
}

// model says which orders of operations a lease allows: it is given only while nobody has it, under a token above
// all before, and freed by its holder.
var model = porcupine.Model{
	Partition: func(all []porcupine.Operation) (parts [][]porcupine.Operation) {
		by := map[string][]porcupine.Operation{}
		for _, o := range all {
			by[o.Input.(asked).lease] = append(by[o.Input.(asked).lease], o)
		}
		for _, p := range by {
			parts = append(parts, p)
		}
		return parts
	},
	Init: func() any { return held{} },
	Step: func(state, input, output any) (bool, any) {
		s, in := state.(held), input.(asked)
		switch {
		case in.free:
			return s.who == in.who && (in.token == 0 || in.token == s.token), held{"", s.token}
		case s.who != "" || in.token != 0 && in.token <= s.token:
			return false, s
		}
		return true, held{in.who, max(s.token, in.token)}
	},
}

// linearise turns the histories into operations and has them checked. A lease that was lost is freed at any time
// after its holder stopped; so is what a dead process held, or may have been given.
func (v *Verdict) linearise(history []Event, away []span) {
	const ever = math.MaxInt64
	by := map[string][]Event{}
	for _, e := range history {
		by[e.Who] = append(by[e.Who], e)
	}
	var all []porcupine.Operation
	client := 0
	add := func(in asked, from, to int64) {
		all = append(all, porcupine.Operation{ClientId: client, Input: in, Call: from, Return: to})
	}
	for who, events := range by {
		client++
		slices.SortStableFunc(events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
		// A stopped process's last look at its lease was before it was stopped.
		end := func(from, at time.Duration) int64 {
			for _, s := range away {
				if s.who == who && s.from >= from && s.from < at {
					at = s.from
				}
			}
			return int64(at)
		}
		for i, e := range events {
			switch e.What {
			case "ask":
				if i+1 == len(events) || events[i+1].What != "got" {
					from := int64(e.At)
					client++ // it may be given at any time, so nothing else of this process hangs on it
					add(asked{e.Lease, who + "?", false, 0}, from, ever)
					client++
					add(asked{e.Lease, who + "?", true, 0}, from, ever)
					continue
				}
				got := events[i+1]
				v.Grants++
				v.Waits = append(v.Waits, got.At-e.At)
				add(asked{e.Lease, who, false, got.Token}, int64(e.At), int64(got.At))
			case "got":
				stop, freed := time.Duration(ever), int64(ever)
				if i+1 < len(events) && events[i+1].What == "stop" {
					stop = events[i+1].At
					if i+2 < len(events) && events[i+2].What == "freed" {
						freed = int64(events[i+2].At)
					}
				}
				client++
				add(asked{e.Lease, who, true, e.Token}, end(e.At, stop), freed)
			}
		}
	}
	switch result := porcupine.CheckOperationsTimeout(model, all, time.Minute); result {
	case porcupine.Ok:
		v.History = fmt.Sprintf("%d operations in order", len(all))
	case porcupine.Unknown:
		v.History = fmt.Sprintf("not checked to its end (%d operations)", len(all))
	default:
		v.History = "refused"
		v.Broken = append(v.Broken, fmt.Sprintf("the history of %d operations has no order that leases allow", len(all)))
	}
}
