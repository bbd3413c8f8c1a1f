package cli

import "encoding/json"

type dumpCmd struct {
	operatorFlags
}

// Run prints the state of an instance as JSON.
func (c *dumpCmd) Run(s *streams) error {
	var got json.RawMessage
	if err := c.get("/dump", &got); err != nil {
		return err
	}
	_, err := s.out.Write(got)
	return err
}
