package coordinator

// read waits until this coordinator has made sure that it leads.
type read func(err error)

type confirmation struct {
	index uint64
	reads []read
}

// confirm calls r once this coordinator has made sure, after now, that it leads, and has applied all that was
// committed before.
func (n *Node) confirm(r read) {
	if n.watch == nil {
		r(errNotLeading)
		return
	}
	n.waiting = append(n.waiting, r)
}

func (n *Node) answerReads() {
	for len(n.confirmed) > 0 && n.confirmed[0].index <= n.applied {
		for _, r := range n.confirmed[0].reads {
			r(nil)
		}
		n.confirmed = n.confirmed[1:]
	}
}
