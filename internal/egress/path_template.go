package egress

import "bytes"

// pathTemplate is the method and path of r, without its query, and with all identifiers alike.
func (r *Request) pathTemplate() []byte {
	line := r.target()
	if version := bytes.LastIndexByte(line, ' '); version >= 0 {
		line = line[:version]
	}
	path, _, _ := bytes.Cut(line, []byte("?"))
	parts := bytes.Split(path, []byte("/"))
	const first = 1 // behind the method: it names what is asked for
	for i := range parts {
		if i > first && isIdentifier(parts[i]) {
			parts[i] = []byte("*")
		}
	}
	return bytes.Join(parts, []byte("/"))
}

// isIdentifier tells whether a part of a path seems to name one thing of many: it holds a digit, and is no API version, as
// v2 is.
func isIdentifier(part []byte) bool {
	const digits = "0123456789"
	if !bytes.ContainsAny(part, digits) {
		return false
	}
	return part[0] != 'v' || len(bytes.Trim(part[1:], digits)) > 0
}
