package registry

import "slices"

// Without returns a view without the endpoints of evacuated failure domains. Those that have entries remain known as Evacuated.
func (v *View) Without(domains []string) *View {
	if len(domains) == 0 {
		return v
	}
	out := &View{
		Revision: v.Revision, services: make(map[string][]Endpoint, len(v.services)), retained: make(map[string][]retainedEndpoint, len(v.retained)),
		evacuated: make(map[string][]Endpoint),
	}
	for service, list := range v.services {
		for _, e := range list {
			if slices.Contains(domains, e.Domain) {
				out.evacuated[service] = append(out.evacuated[service], e)
			} else {
				out.services[service] = append(out.services[service], e)
			}
		}
	}
	for service, list := range v.retained {
		for _, r := range list {
			if !slices.Contains(domains, r.endpoint.Domain) {
				out.retained[service] = append(out.retained[service], r)
			}
		}
	}
	return out
}

// InDomain returns the listed and the retained endpoints of all services in a failure domain.
func (v *View) InDomain(domain string) (out []Endpoint) {
	if v == nil {
		return nil
	}
	for _, list := range v.services {
		for _, e := range list {
			if e.Domain == domain {
				out = append(out, e)
			}
		}
	}
	for _, list := range v.retained {
		for _, r := range list {
			if r.endpoint.Domain == domain {
				out = append(out, r.endpoint)
			}
		}
	}
	return out
}

// Evacuated returns the listed endpoints of a service that get no requests because their failure domain is evacuated. The caller must
// not modify the slice.
func (v *View) Evacuated(service string) []Endpoint {
	if v == nil {
		return nil
	}
	return v.evacuated[service]
}

// EvacuatedCount returns the number of endpoints of all services that get no requests because their domain is evacuated.
func (v *View) EvacuatedCount() (n int) {
	for _, list := range v.evacuated {
		n += len(list)
	}
	return n
}
