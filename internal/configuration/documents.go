package configuration

import "junctionring/versions"

// key names a document.
type documentKey struct {
	number int64
	digest uint64
}

const (
	maxRetainedDocuments = 16      // kept to be shown and compared
	maxRetainedBytes     = 8 << 20 // that they hold together at most
)

// document is the content of a version that is still kept: the one in force, or one of its number.
func (m *Manager) document(number int64) []byte {
	in := m.lifecycle.Status().InForce
	if in.Number == number {
		return m.documents[documentKey{in.Number, in.Digest}]
	}
	for k, text := range m.documents {
		if k.number == number {
			return text
		}
	}
	return nil
}

// drop lets go of a document, but for the last few, which operators compare.
func (m *Manager) releaseDocument(o versions.Offer) {
	k := documentKey{o.Number, o.Digest}
	if m.lifecycle.Needs(o) || m.documents[k] == nil {
		return
	}
	m.retained = append(m.retained, k)
	for len(m.retained) > maxRetainedDocuments || m.retainedBytes() > maxRetainedBytes {
		if first := m.retained[0]; !m.lifecycle.Needs(versions.Offer{Number: first.number, Digest: first.digest}) {
			delete(m.documents, first)
		}
		m.retained = m.retained[1:]
	}
}

func (m *Manager) retainedBytes() (sum int) {
	for _, k := range m.retained {
		sum += len(m.documents[k])
	}
	return sum
}
