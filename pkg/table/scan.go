package table

import (
	"context"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"
)

const (
	// MaxPageRows is the largest number of rows that the platform returns for one read.
	MaxPageRows = 1000

	// scanReadsPerSecond limits one scan to its share of the read budget.
	scanReadsPerSecond = 200
)

// ReadRows reads up to limit rows whose keys start with prefix and sort after the key after. It
// also returns the version of the table at the time of the read.
func (c *Client) ReadRows(ctx context.Context, prefix, after string, limit int) ([]Row, int64, error) {
	query := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	path := "/v1/table/rows?" + query.Encode()
	var page struct {
		Rows    []Row `json:"rows"`
		Version int64 `json:"version"`
	}
	found, err := c.getJSON(ctx, path, &page)
	if err != nil {
		return nil, 0, err
	}
	if !found {
		return nil, 0, errors.Newf("table: GET %s answered with status 404", path)
	}
	return page.Rows, page.Version, nil
}

// ScanRows reads every row whose key starts with prefix, page by page. The pages are not taken
// from one snapshot: the version is that of the first page, and later changes may be included.
func (c *Client) ScanRows(ctx context.Context, prefix string) ([]Row, int64, error) {
	limiter := rate.NewLimiter(rate.Every(time.Second/scanReadsPerSecond), 1)
	var rows []Row
	version := int64(-1)
	after := ""
	for {
		if err := limiter.Wait(ctx); err != nil {
			return nil, 0, errors.Wrapf(err, "table: unable to scan %q", prefix)
		}
		page, pageVersion, err := c.ReadRows(ctx, prefix, after, MaxPageRows)
		if err != nil {
			return nil, 0, err
		}
		if version < 0 {
			version = pageVersion
		}
		if len(page) == 0 {
			return rows, version, nil
		}
		last := page[len(page)-1].Key
		if last <= after {
			return nil, 0, errors.Newf("table: scan of %q does not advance after key %q", prefix, after)
		}
		rows = append(rows, page...)
		if len(page) < MaxPageRows {
			return rows, version, nil
		}
		after = last
	}
}
