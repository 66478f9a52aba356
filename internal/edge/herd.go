package edge

import "github.com/threadwall/threadwall/internal/demand"

// usualPrefill returns the mean prefill time of a service's admitted prompts on all VMs, in seconds;
// zero: there are none. It leaves out the service's routes without prompts, whose work is counted in
// calls.
func (d *Daemon) usualPrefill(service string) float64 {
	c := d.Catalog.Get()
	if c == nil {
		return 0
	}
	var prompts []string
	for i := range c.Routes {
		if c.Routes[i].Prompts {
			prompts = append(prompts, c.Routes[i].Name)
		}
	}
	return meanWork(d.demand.Picture(service), prompts)
}

// meanWork returns the mean work of the admitted calls of some routes; zero: there are none.
func meanWork(p *demand.Picture, routes []string) float64 {
	var work, admitted float32
	for _, name := range routes {
		s := p.Route(name)
		work, admitted = work+s.Work, admitted+s.Admitted
	}
	if admitted <= 0 {
		return 0
	}
	return float64(work / admitted)
}
