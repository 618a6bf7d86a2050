package configdelta_test

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"junctionring/configdelta"
)

// document returns a document with the given number of routes. The routes in changed have another class.
func document(routes int, changed ...int) string {
	var b strings.Builder
	b.WriteString("trusted_proxies = [\"127.0.0.0/8\"]\n[[class]]\nname = \"view\"\n[[plan]]\nname = \"club\"\n")
	for i := range routes {
		class := "view"
		if slices.Contains(changed, i) {
			class = "submit"
		}
		fmt.Fprintf(&b, "[[route]]\npath = \"/service-%d/resource-%d/*\"\nclass = %q\n", i%32, i, class)
	}
	return b.String()
}

func publish(t testing.TB, h *configdelta.History, number int64, epoch uint64, text string) configdelta.State {
	t.Helper()
	if err := h.Publish(number, epoch, false, text); err != nil {
		t.Fatal(err)
	}
	return h.Newest()
}

// receive passes pieces to a reader and accepts the version.
func receive(t testing.TB, r *configdelta.Reader, pieces []configdelta.Piece) {
	t.Helper()
	for i, p := range pieces {
		state, err := r.Receive(p)
		if err != nil {
			t.Fatal(err)
		}
		if (state != nil) != (i == len(pieces)-1) {
			t.Fatalf("piece %d of %d: the version is complete: %v", i+1, len(pieces), state != nil)
		}
	}
	r.Accept()
}

// contentOf returns a state's document without the lines that mark its parts.
func contentOf(s configdelta.State) string {
	var b strings.Builder
	for _, p := range s.Parts() {
		b.WriteString(p.Content)
	}
	return b.String()
}

func TestOneChangeOfManyRoutesIsSmall(t *testing.T) {
	h := configdelta.NewHistory(8, 64<<10)
	base := publish(t, h, 1, 1, document(23000))
	publish(t, h, 2, 1, document(23000, 11_111))
	pieces := h.From(base.Ref())
	sent := 0
	for _, p := range pieces {
		for _, part := range p.Set {
			sent += len(part.Content)
		}
	}
	if len(pieces) != 1 || sent > 8<<10 {
		t.Errorf("the increment has %d pieces with %d bytes, for a document of %d bytes", len(pieces), sent, base.Bytes())
	}
	r := configdelta.NewReader(base)
	receive(t, r, pieces)
	if contentOf(r.Held()) != document(23000, 11_111) {
		t.Error("the reader's document differs from the published one")
	}
}

func TestUnknownBaseGetsBoundedPieces(t *testing.T) {
	const pieceBytes = 16 << 10
	h := configdelta.NewHistory(1, pieceBytes)
	old := publish(t, h, 1, 1, document(2000))
	publish(t, h, 2, 1, document(2100)) // version 1 is no longer kept as a base
	pieces := h.From(old.Ref())
	for i, p := range pieces {
		size := 0
		for _, part := range p.Set {
			size += len(part.Name) + len(part.Content)
		}
		if size > pieceBytes || !p.Whole {
			t.Errorf("piece %d has %d bytes, whole %v", i, size, p.Whole)
		}
	}
	r := configdelta.NewReader(old)
	receive(t, r, pieces)
	if contentOf(r.Held()) != document(2100) {
		t.Error("the reader's document differs from the published one")
	}
}

func TestRefusals(t *testing.T) {
	h := configdelta.NewHistory(8, 2<<10)
	one := publish(t, h, 1, 3, document(200))
	two := publish(t, h, 2, 3, document(200, 50))
	three := publish(t, h, 3, 3, document(300, 50, 51))
	step := func(from, to configdelta.State, change func(*configdelta.Piece)) []configdelta.Piece {
		pieces := configdelta.Diff(&from, to, false, configdelta.MaxPieceBytes)
		change(&pieces[0])
		return pieces
	}
	whole := configdelta.Diff(nil, three, false, 2<<10)
	big, err := configdelta.NewPart("zz", strings.Repeat(strings.Repeat("x", 1023)+"\n", 256))
	if err != nil {
		t.Fatal(err)
	}
	lower, err := configdelta.NewState(3, 2, three.Parts())
	if err != nil {
		t.Fatal(err)
	}
	nothing := func(*configdelta.Piece) {}
	for name, c := range map[string]struct {
		pieces []configdelta.Piece
		reason configdelta.Reason
	}{
		"another base":             {step(one, three, nothing), configdelta.WrongBase},
		"a wrong hash":             {step(two, three, func(p *configdelta.Piece) { p.Hash[0]++ }), configdelta.WrongHash},
		"a part left out":          {step(two, three, func(p *configdelta.Piece) { p.Set = p.Set[1:] }), configdelta.WrongHash},
		"an older version":         {step(two, one, nothing), configdelta.OutOfOrder},
		"the same version again":   {step(one, two, nothing), configdelta.Duplicate},
		"a later piece first":      {whole[1:], configdelta.PieceOrder},
		"a piece left out":         {slices.Delete(slices.Clone(whole), 1, 2), configdelta.PieceOrder},
		"a piece twice":            {slices.Insert(slices.Clone(whole), 1, whole[0], whole[0], whole[2]), configdelta.PieceOrder},
		"an unknown part":          {step(two, three, func(p *configdelta.Piece) { p.Remove = []string{"none"} }), configdelta.UnknownPart},
		"a part twice":             {step(two, three, func(p *configdelta.Piece) { p.Set = append(p.Set, p.Set[0]) }), configdelta.Malformed},
		"a part that is none":      {step(two, three, func(p *configdelta.Piece) { p.Set[0] = configdelta.Part{} }), configdelta.Malformed},
		"no pieces":                {step(two, three, func(p *configdelta.Piece) { p.Pieces = 0 }), configdelta.Malformed},
		"too many pieces":          {step(two, three, func(p *configdelta.Piece) { p.Pieces = 1 << 30 }), configdelta.Oversized},
		"a piece beyond its bound": {step(two, three, func(p *configdelta.Piece) { p.Set = append(p.Set, big, big, big) }), configdelta.Oversized},
		"a replaced writer":        {step(two, lower, nothing), configdelta.OldEpoch},
	} {
		t.Run(name, func(t *testing.T) {
			r := configdelta.NewReader(two)
			var refusal *configdelta.Refusal
			for _, p := range c.pieces {
				if _, err := r.Receive(p); err != nil {
					if !errors.As(err, &refusal) {
						t.Fatalf("%T: %v", err, err)
					}
					break
				}
			}
			if refusal == nil || refusal.Reason != c.reason {
				t.Fatalf("%v, want %v", refusal, c.reason)
			}
			r.Accept() // there is nothing to accept
			if r.Held().Ref() != two.Ref() {
				t.Errorf("the reader holds %v", r.Held().Ref())
			}
			receive(t, r, step(two, three, nothing))
		})
	}
}

// A refused piece must discard a version that waits for Accept, and an increment that waits for its next piece.
func TestRefusedPieceEndsWhatWasUnderWay(t *testing.T) {
	h := configdelta.NewHistory(8, 2<<10)
	one := publish(t, h, 1, 1, document(200))
	two := publish(t, h, 2, 1, document(200, 50))
	step := configdelta.Diff(&one, two, false, configdelta.MaxPieceBytes)[0]
	bad := step
	bad.Hash[0]++

	r := configdelta.NewReader(one)
	if state, err := r.Receive(step); err != nil || state == nil {
		t.Fatal(state, err)
	}
	if _, err := r.Receive(bad); err == nil {
		t.Fatal("a piece with a wrong hash was accepted")
	}
	r.Accept()
	if r.Held().Ref() != one.Ref() {
		t.Errorf("the reader holds %v", r.Held().Ref())
	}

	whole := configdelta.Diff(nil, two, false, 2<<10)
	if _, err := r.Receive(whole[0]); err != nil {
		t.Fatal(err)
	}
	if _, err := r.Receive(bad); err == nil {
		t.Fatal("a piece with a wrong hash was accepted")
	}
	if _, err := r.Receive(whole[1]); err == nil {
		t.Error("an increment continued after a refusal")
	}
	receive(t, r, whole)
}

func TestRollback(t *testing.T) {
	h := configdelta.NewHistory(8, 64<<10)
	publish(t, h, 1, 1, document(100))
	two := publish(t, h, 2, 1, document(100, 7))
	if err := h.Publish(1, 1, true, document(100)); err != nil {
		t.Fatal(err)
	}
	r := configdelta.NewReader(two)
	receive(t, r, h.From(two.Ref()))
	if r.Held().Number != 1 || contentOf(r.Held()) != document(100) {
		t.Errorf("the reader holds %v", r.Held().Ref())
	}
}

func TestDocumentTellsItsParts(t *testing.T) {
	h := configdelta.NewHistory(8, 64<<10)
	state := publish(t, h, 9, 4, document(300))
	back, err := configdelta.ParseDocument(9, state.Document())
	if err != nil || back.Ref() != state.Ref() || back.Epoch != 4 {
		t.Errorf("%v epoch %d, %v; want %v", back.Ref(), back.Epoch, err, state.Ref())
	}
	if _, err := configdelta.ParseDocument(9, []byte(document(3))); !errors.Is(err, configdelta.ErrNoPartMarkers) {
		t.Errorf("a document without part lines: %v", err)
	}
	swapped := strings.Split(string(state.Document()), "#part ")
	swapped[1], swapped[2] = swapped[2], swapped[1]
	if _, err := configdelta.ParseDocument(9, []byte(strings.Join(swapped, "#part "))); err == nil {
		t.Error("a document with parts out of order was parsed")
	}
}

// An operator may publish a document that a gateway returned, with the lines that mark its parts.
func TestDocumentWithPartsIsPublishedAgain(t *testing.T) {
	h := configdelta.NewHistory(8, 64<<10)
	one := publish(t, h, 1, 1, document(300))
	two := publish(t, h, 2, 1, string(one.Document()))
	if two.Hash() != one.Hash() {
		t.Error("publishing a state's document again changed its hash")
	}
}

// A line such as [[route]] in a multi-line string is not a table header.
func TestLinesInStringsAreNotCut(t *testing.T) {
	text := "note = \"\"\"\n[[route]]\n" + strings.Repeat("[[route]]\nx\n", 500) + "\"\"\"\n"
	parts, err := configdelta.Partition(text, configdelta.State{})
	if err != nil || len(parts) != 1 || parts[0].Content != text {
		t.Errorf("%d parts, %v", len(parts), err)
	}
}

func TestCutKeepsWhatIsUnchanged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := configdelta.State{}
		for number := range rapid.Int64Range(1, 6).Draw(t, "versions") {
			text := document(rapid.IntRange(0, 120).Draw(t, "routes"), rapid.SliceOfN(rapid.IntRange(0, 120), 0, 4).Draw(t, "changed")...)
			parts, err := configdelta.Partition(text, state)
			if err != nil {
				t.Fatal(err)
			}
			if state, err = configdelta.NewState(number, 1, parts); err != nil {
				t.Fatal(err)
			}
			if contentOf(state) != text {
				t.Fatalf("version %d: the parts do not form the published document", number)
			}
			back, err := configdelta.ParseDocument(number, state.Document())
			if err != nil || back.Ref() != state.Ref() {
				t.Fatalf("%v, %v", back.Ref(), err)
			}
		}
	})
}

// After any sequence of versions, lost and repeated pieces, forgotten bases, reconnects, restarts, refusals and
// replaced writers, the reader holds exactly one complete published version, and reaches the newest one when the
// stream is no longer disturbed.
func TestAnySequenceEndsAtTheWholeDocument(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := configdelta.NewHistory(rapid.IntRange(1, 5).Draw(t, "keep"), rapid.SampledFrom([]int{600, 2000, 100_000}).Draw(t, "piece bytes"))
		published := map[configdelta.Ref]string{{Hash: configdelta.State{}.Hash()}: ""}
		r := configdelta.NewReader(configdelta.State{})
		number, epoch := int64(0), uint64(1)
		var stream []configdelta.Piece // sent and not yet received
		check := func() {
			if text, ok := published[r.Held().Ref()]; !ok || contentOf(r.Held()) != text {
				t.Fatalf("the reader holds %v, which was not published with this content", r.Held().Ref())
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"publish": func(t *rapid.T) {
				number++
				text := document(rapid.IntRange(0, 60).Draw(t, "routes"), rapid.SliceOfN(rapid.IntRange(0, 60), 0, 3).Draw(t, "changed")...)
				if err := h.Publish(number, epoch, false, text); err != nil {
					t.Fatal(err)
				}
				published[h.Newest().Ref()] = text
			},
			"send":           func(*rapid.T) { stream = append(stream, h.From(r.Held().Ref())...) },
			"send whole":     func(*rapid.T) { stream = append(stream, h.Whole()...) },
			"writer changes": func(*rapid.T) { epoch++ },
			"forget":         func(*rapid.T) { h.Forget() },
			"lose": func(t *rapid.T) {
				if len(stream) > 0 {
					at := rapid.IntRange(0, len(stream)-1).Draw(t, "at")
					stream = slices.Delete(slices.Clone(stream), at, at+1)
				}
			},
			"repeat": func(t *rapid.T) {
				if len(stream) > 0 {
					stream = append(slices.Clone(stream), stream[rapid.IntRange(0, len(stream)-1).Draw(t, "at")])
				}
			},
			"receive": func(t *rapid.T) {
				for range rapid.IntRange(1, 8).Draw(t, "pieces") {
					if len(stream) == 0 {
						return
					}
					p := stream[0]
					stream = stream[1:]
					before := r.Held().Ref()
					state, err := r.Receive(p)
					if r.Held().Ref() != before {
						t.Fatal("a version was held before it was accepted")
					}
					switch {
					case err != nil || state == nil:
					case rapid.Bool().Draw(t, "accept"):
						r.Accept()
					default:
						r.Reject()
					}
				}
			},
			"reconnect": func(*rapid.T) {
				stream = nil
				r.Disconnected()
			},
			"restart": func(t *rapid.T) {
				held, err := configdelta.ParseDocument(r.Held().Number, r.Held().Document())
				if err != nil {
					t.Fatal(err)
				}
				stream, r = nil, configdelta.NewReader(held)
			},
			"": func(*rapid.T) { check() },
		})
		r.Disconnected()
		pieces := h.From(r.Held().Ref())
		for _, p := range pieces {
			if _, err := r.Receive(p); err != nil {
				t.Fatal(err)
			}
		}
		r.Accept()
		check()
		if number > 0 && r.Held().Ref() != h.Newest().Ref() {
			t.Fatalf("the reader holds %v at the end, the newest version is %v", r.Held().Ref(), h.Newest().Ref())
		}
	})
}

func FuzzParseDocument(f *testing.F) {
	h := configdelta.NewHistory(1, 64<<10)
	f.Add(string(publish(f, h, 1, 1, document(30)).Document()))
	f.Add("#increments 1 epoch=1\n#part a\n\n#part a\nx\n")
	f.Fuzz(func(t *testing.T, text string) {
		state, err := configdelta.ParseDocument(1, []byte(text))
		if err != nil {
			return
		}
		if back, err := configdelta.ParseDocument(1, state.Document()); err != nil || back.Ref() != state.Ref() {
			t.Errorf("%v, %v", back.Ref(), err)
		}
	})
}
