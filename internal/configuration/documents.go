package configuration

import "junctionring/versions"

// key names a document.
type key struct {
	number int64
	digest uint64
}

const (
	oldDocuments = 16      // kept to be shown and compared
	oldBytes     = 8 << 20 // that they hold together at most
)

// document is the content of a version that is still kept: the one in force, or one of its number.
func (m *Manager) document(number int64) []byte {
	in := m.life.Status().InForce
	if in.Number == number {
		return m.documents[key{in.Number, in.Digest}]
	}
	for k, text := range m.documents {
		if k.number == number {
			return text
		}
	}
	return nil
}

// drop lets go of a document, but for the last few, which operators compare.
func (m *Manager) drop(o versions.Offer) {
	k := key{o.Number, o.Digest}
	if m.life.Needs(o) || m.documents[k] == nil {
		return
	}
	m.old = append(m.old, k)
	for len(m.old) > oldDocuments || m.oldBytes() > oldBytes {
		if first := m.old[0]; !m.life.Needs(versions.Offer{Number: first.number, Digest: first.digest}) {
			delete(m.documents, first)
		}
		m.old = m.old[1:]
	}
}

func (m *Manager) oldBytes() (sum int) {
	for _, k := range m.old {
		sum += len(m.documents[k])
	}
	return sum
}
