package control

// CustomerCount returns the number of customers that the gateway keeps state for.
func (g *Gateway) CustomerCount() int { return len(g.customers) }

// ServerCount returns the number of servers that the gateway keeps state for.
func (g *Gateway) ServerCount() int { return len(g.servers) }

// MaxCustomers is the highest number of customers that a gateway keeps state for.
const MaxCustomers = maxCustomers
