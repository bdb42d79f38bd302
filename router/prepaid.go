package router

import "pumiceshelf/endpointload"

// prepaidTotal returns the customer's prepaid total in the active configuration, or false if it has none.
func (r *Router) prepaidTotal(customer string) (int64, bool) {
	t := r.table.Load()
	if t == nil {
		return 0, false
	}
	c := t.Customer(customer)
	if c == nil || c.PrepaidTokens == nil {
		return 0, false
	}
	return *c.PrepaidTokens, true
}

// prepaidCustomers returns the names of the customers that have a prepaid total in the active configuration.
func (r *Router) prepaidCustomers() []string {
	t := r.table.Load()
	if t == nil {
		return nil
	}
	var names []string
	for _, c := range t.Customers() {
		if c.PrepaidTokens != nil {
			names = append(names, c.Name)
		}
	}
	return names
}

// sharesLoads reports whether instances share the load reports of endpoints: the deployment then asks for decisions by rank where
// requests compete for too little.
func (r *Router) sharesLoads() bool { return r.loads.Active(r.config.Clock.Now()) }

// newLoads returns the table of load reports, for all reports or only for those with a work time.
func newLoads(all bool) *endpointload.Table {
	if all {
		return endpointload.New(endpointload.ShareAllReports)
	}
	return endpointload.New()
}
