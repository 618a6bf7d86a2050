package forwardauth

import (
	"fmt"
	"net/url"
	"slices"
	"time"

	"junctionring/internal/config"
	"junctionring/internal/front"
)

// View is the front's form of one configuration version. It is immutable once installed, except for requests.
type View struct {
	o        *config.Operator
	names    *front.Names
	classes  []int // core numbers, by index in the document
	plans    []int
	checker  *checker // nil: trusted proxies supply the client's identity
	requests int      // in progress under the view; guarded by Front.mu
}

// NewView returns a view of a configuration version. Requests use it only after Install.
func (f *Front) NewView(o *config.Operator, classes, plans []int) (*View, error) {
	v := &View{o: o, names: &front.Names{Gateways: o.Gateways, Routes: o.RouteTable}, classes: classes, plans: plans}
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
	current := f.view
	f.mu.Unlock()
	if current != nil && current.checker != nil && *current.checker.url == *u {
		v.checker = current.checker // keeps its connection limit
		return v, nil
	}
	v.checker = newChecker(u)
	return v, nil
}

// SetNumbers sets the core numbers of the view's classes and plans. It must be called before Install.
func (v *View) SetNumbers(classes, plans []int) { v.classes, v.plans = classes, plans }

// Install makes v the view for new requests. Requests in progress finish under the view that they began with.
func (f *Front) Install(v *View) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.replaced = append(f.replaced, f.view)
	f.view = v
	f.dropUnusedViews()
}

// Classes returns the core numbers of the classes that new requests or those in progress may use.
func (f *Front) Classes() map[int]bool { return f.inUse(func(v *View) []int { return v.classes }) }

// Plans returns the core numbers of the plans that new requests or those in progress may use.
func (f *Front) Plans() map[int]bool { return f.inUse(func(v *View) []int { return v.plans }) }

func (f *Front) inUse(numbersOf func(*View) []int) map[int]bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dropUnusedViews()
	all := map[int]bool{}
	for _, v := range append([]*View{f.view}, f.replaced...) {
		for _, n := range numbersOf(v) {
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

// dropUnusedViews removes replaced views that no request uses. The caller holds mu.
func (f *Front) dropUnusedViews() {
	f.replaced = slices.DeleteFunc(f.replaced, func(v *View) bool { return v.requests == 0 })
}

// WindowFaults returns a fault for each keyed class whose window the new version shortens while keys of the class are
// in doubt. Under the shorter window these keys would be treated as forgotten by the table servers, which may still
// remember them or not.
func (f *Front) WindowFaults(o *config.Operator) (faults []string) {
	f.mu.Lock()
	current := f.view
	f.mu.Unlock()
	windows := map[string]time.Duration{}
	for i, c := range current.o.Classes {
		windows[c.Name] = time.Duration(current.o.Module.Classes[i].Window * float64(time.Second))
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
