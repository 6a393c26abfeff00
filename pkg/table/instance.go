package table

import "context"

// Instance is one element of the platform's instance list.
type Instance struct {
	Name          string `json:"name"`
	Role          string `json:"role"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	Rack          string `json:"rack"`
	State         string `json:"state"`
	Incarnation   int64  `json:"incarnation"`
}

// InstanceList is the platform's instance list. It may be stale: AsOfMS is the time of its content.
type InstanceList struct {
	Instances []Instance `json:"instances"`
	AsOfMS    int64      `json:"as_of_ms"`
}

// ListInstances reads the instance list.
func (c *Client) ListInstances(ctx context.Context) (InstanceList, error) {
	var list InstanceList
	_, err := c.getJSON(ctx, "/v1/instances", &list)
	return list, err
}
