package cli

import (
	"fmt"
	"time"

	"anviltack/core/member"
	"anviltack/io/operator"
)

type statusCmd struct {
	operatorFlags
}

// Run prints the groups, endpoints and instances as one instance sees them.
func (c *statusCmd) Run(s *streams) error {
	var got operator.Status
	if err := c.get("/status", &got); err != nil {
		return err
	}
	if c.JSON {
		return s.printJSON(got)
	}
	fmt.Fprintf(s.out, "instance %s in %s: version %d from %s, watching %v, draining %v\n",
		got.Instance, got.DataCentre, got.Version, got.Source, got.Watching, got.Draining)
	for _, g := range got.Groups {
		fmt.Fprintf(s.out, "group %s: term %d, primary %s\n", g.Group, g.Term, g.Primary)
		for _, e := range g.Endpoints {
			fmt.Fprintf(s.out, "  endpoint %s in %s: %s at %d%s\n", e.Endpoint, e.DataCentre, e.Role, e.Applied, leavingSuffix(e.Leaving))
		}
	}
	for _, m := range got.Instances {
		fmt.Fprintf(s.out, "instance %s in %s at %s: %s, version %d, %s\n",
			m.Instance, m.DataCentre, m.Address, m.State, m.Version, heartbeatText(m))
	}
	return nil
}

func leavingSuffix(v bool) string {
	if v {
		return ", leaving"
	}
	return ""
}

func heartbeatText(m member.Member) string {
	if m.HeartbeatAge < 0 {
		return "never heard"
	}
	return "heard " + m.HeartbeatAge.Round(time.Millisecond).String() + " ago"
}
