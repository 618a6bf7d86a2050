package configuration

import "junctionring/versions"

// documentKey identifies a document by its version number and the digest of its content.
type documentKey struct {
	number int64
	digest uint64
}

const (
	maxRetainedDocuments = 16      // retained after their last use, for operators to read and compare
	maxRetainedBytes     = 8 << 20 // total size of the retained documents
)

// document returns the content of a version whose document is still held, or nil. If several documents have the
// same number, the one in force takes precedence.
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

// releaseDocument marks a document as no longer needed by the lifecycle. The most recent ones are retained, since
// operators compare them; the oldest are deleted once there are too many or they are too large.
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
