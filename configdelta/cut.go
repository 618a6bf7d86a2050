package configdelta

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"strings"
)

// How documents are cut. Where a part ends depends on what its lines say and not on how many came before, so that
// a table that is added or removed changes the parts beside it only.
const (
	minCutBytes = 512  // a part is not ended before
	maxCutBytes = 4096 // and ends here wherever a table does
	cutOneIn    = 4    // of the tables between, the share that ends a part
)

// Partition divides a document into parts: whole top-level [[tables]], several of one kind in a part. Parts that previous
// has already keep their names. A document with strings over several lines is not cut.
func Partition(document string, previous State) ([]Part, error) {
	contents := cutContents(withoutMarks(document))
	names, err := nameParts(contents, previous.parts)
	if err != nil {
		return nil, err
	}
	parts := make([]Part, len(contents))
	for i, content := range contents {
		if parts[i], err = NewPart(names[i], content); err != nil {
			return nil, err
		}
	}
	return parts, nil
}

// withoutMarks is a document that tells its parts without the lines that do so; any other is returned as it is.
func withoutMarks(document string) string {
	_, parts, err := SplitDocument(document)
	if err != nil {
		return document
	}
	var b strings.Builder
	for _, p := range parts {
		b.WriteString(p.Content)
	}
	return b.String()
}

// cutContents divides a document at the lines that begin a top-level array table.
func cutContents(document string) (contents []string) {
	if document != "" && !strings.HasSuffix(document, "\n") {
		document += "\n"
	}
	if strings.Contains(document, `"""`) || strings.Contains(document, "'''") {
		return []string{document} // a line in such a string is none of the document's
	}
	part, kind := "", ""
	for document != "" {
		table := document[:tableEnd(document)]
		document = document[len(table):]
		header, _, _ := strings.Cut(table, "\n")
		if part != "" && (header != kind || len(part)+len(table) > maxCutBytes) {
			contents, part = append(contents, part), ""
		}
		part, kind = part+table, header
		if len(part) >= minCutBytes && endsPart(table) {
			contents, part = append(contents, part), ""
		}
	}
	if part != "" {
		contents = append(contents, part)
	}
	return contents
}

// tableEnd is where the first table of a document ends: before the next line like [[route]].
func tableEnd(document string) int {
	for at := 0; ; {
		line := strings.IndexByte(document[at:], '\n')
		if line < 0 || at+line+1 == len(document) {
			return len(document)
		}
		at += line + 1
		header, _, _ := strings.Cut(document[at:], "\n")
		if strings.HasPrefix(header, "[[") && !strings.Contains(header, ".") {
			return at
		}
	}
}

func endsPart(table string) bool {
	sum := sha256.Sum256([]byte(table))
	return binary.BigEndian.Uint32(sum[:])%cutOneIn == 0
}

// nameParts gives contents their names, rising in order. A content that previous has keeps its name; others take
// the names of those whose place they took, or new ones between their neighbours'.
func nameParts(contents []string, previous []Part) ([]string, error) {
	kept := match(contents, previous)
	names := make([]string, len(contents))
	for at := 0; at < len(contents); {
		if kept[at] >= 0 {
			names[at] = previous[kept[at]].Name
			at++
			continue
		}
		end := at
		for end < len(contents) && kept[end] < 0 {
			end++
		}
		first, last := 0, len(previous) // the previous parts whose place this run takes
		if at > 0 {
			first = kept[at-1] + 1
		}
		if end < len(contents) {
			last = kept[end]
		}
		if !nameRun(names[at:end], previous, first, last) {
			return nameAnew(len(contents))
		}
		at = end
	}
	return names, nil
}

// nameRun names a run of new contents that stands where the previous parts from first to last stood. It is false
// where there are too few names between the neighbours.
func nameRun(names []string, previous []Part, first, last int) bool {
	reused := min(len(names), last-first)
	for i := range reused {
		names[i] = previous[first+i].Name
	}
	fresh := names[reused:]
	if len(fresh) == 0 {
		return true
	}
	low, high := uint64(0), ^uint64(0)
	ok := true
	if first+reused > 0 {
		low, ok = keyOf(previous[first+reused-1].Name)
	}
	if ok && last < len(previous) {
		high, ok = keyOf(previous[last].Name)
	}
	step := (high - low) / uint64(len(fresh)+1)
	if !ok || high <= low || step == 0 {
		return false
	}
	for i := range fresh {
		fresh[i] = keyName(low + step*uint64(i+1))
	}
	return true
}

func nameAnew(count int) ([]string, error) {
	names := make([]string, count)
	if !nameRun(names, nil, 0, 0) {
		return nil, fmt.Errorf("%d parts can't be named", count)
	}
	return names, nil
}

func keyName(key uint64) string { return fmt.Sprintf("%016x", key) }

func keyOf(name string) (key uint64, ok bool) {
	if len(name) != 16 {
		return 0, false
	}
	_, err := fmt.Sscanf(name, "%016x", &key)
	return key, err == nil && keyName(key) == name
}

// match tells for each content the previous part that it is, rising, or -1.
func match(contents []string, previous []Part) []int {
	kept := make([]int, len(contents))
	start, end := 0, len(contents)
	for start < end && start < len(previous) && contents[start] == previous[start].Content {
		kept[start] = start
		start++
	}
	last := len(previous)
	for end > start && last > start && contents[end-1] == previous[last-1].Content {
		end, last = end-1, last-1
		kept[end] = last
	}
	places := map[string][]int{}
	for i := start; i < last; i++ {
		places[previous[i].Content] = append(places[previous[i].Content], i)
	}
	next := start
	for i := start; i < end; i++ {
		kept[i] = -1
		for _, place := range places[contents[i]] {
			if place >= next {
				kept[i], next = place, place+1
				break
			}
		}
	}
	return kept
}
