package leasepb

import "junctionring/lease"

// FromMember is a member as it is sent.
func FromMember(m lease.Member) *Member {
	return &Member{Kind: m.Kind, Name: m.Name, Site: m.Site, Address: m.Address, Version: m.Version, State: m.State}
}

// LeaseMember is the member that was sent; none is an empty one.
func (x *Member) LeaseMember() lease.Member {
	return lease.Member{Kind: x.GetKind(), Name: x.GetName(), Site: x.GetSite(), Address: x.GetAddress(), Version: x.GetVersion(), State: x.GetState()}
}
