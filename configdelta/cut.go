package configdelta

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"strings"
)

// Part boundaries are content-defined: whether a part ends at a table depends on the table's lines and not on the
// number of tables before it, so that adding or removing a table changes only the neighbouring parts.
const (
	minPartBytes    = 512  // below this size, a table's content does not end a part
	maxGroupedBytes = 4096 // tables are not grouped into a part beyond this size
	boundaryDivisor = 4    // between the two sizes, one in this many tables ends a part
)

// Partition divides a document into parts. A part consists of whole top-level array tables ([[table]]) of one kind, or
// of the lines before the first of them. Parts that previous already has keep their names. A document with multi-line
// strings becomes a single part.
func Partition(document string, previous State) ([]Part, error) {
	contents := partitionContents(stripMarkers(document))
	names, err := assignNames(contents, previous.parts)
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

// stripMarkers removes the lines that mark the parts of a document. A document that SplitDocument cannot read is
// returned unchanged.
func stripMarkers(document string) string {
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

// partitionContents divides a document at headers of top-level array tables and returns the contents of its parts.
func partitionContents(document string) (contents []string) {
	if document != "" && !strings.HasSuffix(document, "\n") {
		document += "\n"
	}
	if strings.Contains(document, `"""`) || strings.Contains(document, "'''") {
		return []string{document} // a line of such a string may look like a table header
	}
	part, partHeader := "", ""
	for document != "" {
		table := document[:firstTableEnd(document)]
		document = document[len(table):]
		header, _, _ := strings.Cut(table, "\n")
		if part != "" && (header != partHeader || len(part)+len(table) > maxGroupedBytes) {
			contents, part = append(contents, part), ""
		}
		part, partHeader = part+table, header
		if len(part) >= minPartBytes && isPartBoundary(table) {
			contents, part = append(contents, part), ""
		}
	}
	if part != "" {
		contents = append(contents, part)
	}
	return contents
}

// firstTableEnd returns the offset at which the first table of a document ends: that of the next line such as
// [[route]], or the document's length.
func firstTableEnd(document string) int {
	for offset := 0; ; {
		newline := strings.IndexByte(document[offset:], '\n')
		if newline < 0 || offset+newline+1 == len(document) {
			return len(document)
		}
		offset += newline + 1
		header, _, _ := strings.Cut(document[offset:], "\n")
		if strings.HasPrefix(header, "[[") && !strings.Contains(header, ".") {
			return offset
		}
	}
}

// isPartBoundary reports whether a part that has reached its minimum size ends after a table.
func isPartBoundary(table string) bool {
	sum := sha256.Sum256([]byte(table))
	return binary.BigEndian.Uint32(sum[:])%boundaryDivisor == 0
}

// assignNames returns the names of contents, in ascending order. A content that previous already has keeps its name.
// Others reuse the names of the parts that they replace, or get new names between those of their neighbours. If there
// are too few names between two neighbours, all parts get new names.
func assignNames(contents []string, previous []Part) ([]string, error) {
	matches := matchParts(contents, previous)
	names := make([]string, len(contents))
	for start := 0; start < len(contents); {
		if matches[start] >= 0 {
			names[start] = previous[matches[start]].Name
			start++
			continue
		}
		end := start
		for end < len(contents) && matches[end] < 0 {
			end++
		}
		first, last := 0, len(previous) // the previous parts that this run replaces
		if start > 0 {
			first = matches[start-1] + 1
		}
		if end < len(contents) {
			last = matches[end]
		}
		if !assignRunNames(names[start:end], previous, first, last) {
			return nameAll(len(contents))
		}
		start = end
	}
	return names, nil
}

// assignRunNames names a run of new contents that replaces previous[first:last]. It returns false if there are too few
// names between the neighbours, or if a neighbour's name is not a formatted key.
func assignRunNames(names []string, previous []Part, first, last int) bool {
	reused := min(len(names), last-first)
	for i := range reused {
		names[i] = previous[first+i].Name
	}
	unnamed := names[reused:]
	if len(unnamed) == 0 {
		return true
	}
	lowKey, highKey := uint64(0), ^uint64(0)
	ok := true
	if first+reused > 0 {
		lowKey, ok = parseKey(previous[first+reused-1].Name)
	}
	if ok && last < len(previous) {
		highKey, ok = parseKey(previous[last].Name)
	}
	step := (highKey - lowKey) / uint64(len(unnamed)+1)
	if !ok || highKey <= lowKey || step == 0 {
		return false
	}
	for i := range unnamed {
		unnamed[i] = formatKey(lowKey + step*uint64(i+1))
	}
	return true
}

// nameAll returns new names for all parts, evenly spaced over the range of keys.
func nameAll(count int) ([]string, error) {
	names := make([]string, count)
	if !assignRunNames(names, nil, 0, 0) {
		return nil, fmt.Errorf("cannot assign names to %d parts", count)
	}
	return names, nil
}

func formatKey(key uint64) string { return fmt.Sprintf("%016x", key) }

func parseKey(name string) (key uint64, ok bool) {
	if len(name) != 16 {
		return 0, false
	}
	_, err := fmt.Sscanf(name, "%016x", &key)
	return key, err == nil && formatKey(key) == name
}

// matchParts returns for each content the index of the previous part with the same content, or -1. The indexes of
// matched parts are in ascending order.
func matchParts(contents []string, previous []Part) []int {
	matches := make([]int, len(contents))
	start, end := 0, len(contents)
	for start < end && start < len(previous) && contents[start] == previous[start].Content {
		matches[start] = start
		start++
	}
	previousEnd := len(previous)
	for end > start && previousEnd > start && contents[end-1] == previous[previousEnd-1].Content {
		end, previousEnd = end-1, previousEnd-1
		matches[end] = previousEnd
	}
	indexes := map[string][]int{}
	for i := start; i < previousEnd; i++ {
		indexes[previous[i].Content] = append(indexes[previous[i].Content], i)
	}
	next := start
	for i := start; i < end; i++ {
		matches[i] = -1
		for _, index := range indexes[contents[i]] {
			if index >= next {
				matches[i], next = index, index+1
				break
			}
		}
	}
	return matches
}
