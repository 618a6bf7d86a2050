package forwardauth

import (
	"fmt"
	"net/url"
	"slices"
	"time"

	"junctionring/internal/config"
	"junctionring/internal/front"
)

// View is one configuration version as the front sees it. It is not changed once it is made.
type View struct {
	o        *config.Operator
	names    *front.Names
	classes  []int // the numbers in the core, by their place in the document
	plans    []int
	checker  *checker // nil: trusted proxies say who a client is
	requests int      // requests under it; guarded by the front
}

// NewView makes a view of a version. Nothing sees it before Install.
func (f *Front) NewView(o *config.Operator, classes, plans []int) (*View, error) {
	v := &View{o: o, names: &front.Names{Gateways: o.Gateways, Routes: o.Paths}, classes: classes, plans: plans}
	for i, class := range o.Classes {
		v.names.Classes = append(v.names.Classes, class.Name)
		v.names.Repeats = append(v.names.Repeats, o.Module.Classes[i].Repeat)
	}
	for _, plan := range o.Plans {
		v.names.Plans = append(v.names.Plans, plan.Name)
	}
	if o.Checker.URL == "" {
		return v, nil
	}
	u, err := url.Parse(o.Checker.URL)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	now := f.view
	f.mu.Unlock()
	if now != nil && now.checker != nil && *now.checker.url == *u {
		v.checker = now.checker // with its bound on connections
		return v, nil
	}
	v.checker = newChecker(u)
	return v, nil
}

// SetNumbers gives a view's classes and plans their numbers in the core, before it is installed.
func (v *View) SetNumbers(classes, plans []int) { v.classes, v.plans = classes, plans }

// Install has new requests decided under a view. Those that are held end under the one they came in with.
func (f *Front) Install(v *View) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.replaced = append(f.replaced, f.view)
	f.view = v
	f.dropUnusedViews()
}

// Classes are the numbers of classes, and Plans those of plans, that requests may still use.
func (f *Front) Classes() map[int]bool { return f.inUse(func(v *View) []int { return v.classes }) }

// Plans is documented with Classes.
func (f *Front) Plans() map[int]bool { return f.inUse(func(v *View) []int { return v.plans }) }

func (f *Front) inUse(of func(*View) []int) map[int]bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dropUnusedViews()
	all := map[int]bool{}
	for _, v := range append([]*View{f.view}, f.replaced...) {
		for _, n := range of(v) {
			all[n] = true
		}
	}
	return all
}

func (f *Front) acquireView() *View {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.view.requests++
	return f.view
}

func (f *Front) releaseView(v *View) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if v.requests--; v.requests == 0 && v != f.view {
		f.dropUnusedViews()
	}
}

// sweep lets go of replaced views that nobody uses.
func (f *Front) dropUnusedViews() {
	f.replaced = slices.DeleteFunc(f.replaced, func(v *View) bool { return v.requests == 0 })
}

// WindowFaults names the keyed classes of a new version whose window is shorter than the present one while keys of it
// are in doubt: by the new window they would count as forgotten by table servers that still know them, or not.
func (f *Front) WindowFaults(o *config.Operator) (faults []string) {
	f.mu.Lock()
	now := f.view
	f.mu.Unlock()
	windows := map[string]time.Duration{}
	for i, c := range now.o.Classes {
		windows[c.Name] = time.Duration(now.o.Module.Classes[i].Window * float64(time.Second))
	}
	for i, c := range o.Classes {
		window := time.Duration(o.Module.Classes[i].Window * float64(time.Second))
		if before := windows[c.Name]; window < before {
			if n := f.keys.inDoubt(c.Name, time.Now(), before); n > 0 {
				faults = append(faults, fmt.Sprintf("class %s: its window shrinks from %v to %v while %d keys are in doubt; "+
					"offer it again in %v", c.Name, before, window, n, before))
			}
		}
	}
	return faults
}
