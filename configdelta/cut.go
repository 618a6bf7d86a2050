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
	minPartBytes    = 512  // a part is not ended before
	maxGroupedBytes = 4096 // and ends here wherever a table does
	boundaryDivisor = 4    // of the tables between, the share that ends a part
)

// Partition divides a document into parts: whole top-level [[tables]], several of one kind in a part. Parts that previous
// has already keep their names. A document with strings over several lines is not cut.
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

// withoutMarks is a document that tells its parts without the lines that do so; any other is returned as it is.
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

// cutContents divides a document at the lines that begin a top-level array table.
func partitionContents(document string) (contents []string) {
	if document != "" && !strings.HasSuffix(document, "\n") {
		document += "\n"
	}
	if strings.Contains(document, `"""`) || strings.Contains(document, "'''") {
		return []string{document} // a line in such a string is none of the document's
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

// tableEnd is where the first table of a document ends: before the next line like [[route]].
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

func isPartBoundary(table string) bool {
	sum := sha256.Sum256([]byte(table))
	return binary.BigEndian.Uint32(sum[:])%boundaryDivisor == 0
}

// nameParts gives contents their names, rising in order. A content that previous has keeps its name; others take
// the names of those whose place they took, or new ones between their neighbours'.
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
		first, last := 0, len(previous) // the previous parts whose place this run takes
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

// nameRun names a run of new contents that stands where the previous parts from first to last stood. It is false
// where there are too few names between the neighbours.
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

func nameAll(count int) ([]string, error) {
	names := make([]string, count)
	if !assignRunNames(names, nil, 0, 0) {
		return nil, fmt.Errorf("%d parts can't be named", count)
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

// match tells for each content the previous part that it is, rising, or -1.
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
