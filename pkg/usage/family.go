package usage

import "strings"

// Family returns the name of a job without its trailing numbers and separators, so that
// runs of the same work share what was learned: "report-2026-12-04" becomes "report".
// A name that consists only of these is returned as it is.
func Family(job string) string {
	short := strings.TrimRight(job, "0123456789-_.")
	if short == "" {
		return job
	}
	return short
}
