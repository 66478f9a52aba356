package main

import (
	"context"
	"os"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/threadwall/threadwall/internal/capacity"
	"github.com/threadwall/threadwall/platform/journal"
)

// minScores is the minimum number of scores of a day for which plotScores draws a line;
// fewer do not show a trend.
const minScores = 3

func payoffCommand() *cli.Command {
	return &cli.Command{
		Name:  "payoff",
		Usage: "print the causes of lost worth on each day, from the newest score of each site in the journal",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "journal", Value: "journal", Usage: "read the entries in `DIR`"},
			&cli.StringFlag{Name: "page", Usage: "write the tables between the markers in `FILE` instead"},
			&cli.StringFlag{Name: "plots", Usage: "also draw each site's scores over the entries, as SVG files in `DIR`"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			scores, err := journal.ReadScores(c.String("journal"))
			if err != nil {
				return err
			}
			if dir := c.String("plots"); dir != "" {
				if err := plotScores(dir, scores); err != nil {
					return err
				}
			}
			tables, err := journal.Tables(scores)
			if err != nil {
				return err
			}
			if page := c.String("page"); page != "" {
				return journal.UpdatePage(page, tables)
			}
			_, err = os.Stdout.Write(tables)
			return eris.Wrap(err, "print tables")
		},
	}
}

// plotScores draws the scores of each site with at least minScores scores on a day.
func plotScores(dir string, scores []journal.Entry) error {
	for _, newest := range journal.Newest(scores) {
		lines := scoreLines(journal.Histories(scores, newest.Site))
		if len(lines) == 0 {
			continue
		}
		if err := capacity.PlotLines(dir, "score-"+newest.Site, "Score of "+newest.Site, "score entry of the journal", "score of the day", lines); err != nil {
			return err
		}
	}
	return nil
}

// scoreLines returns a line for each day with at least minScores scores.
func scoreLines(histories []journal.History) []capacity.Line {
	var lines []capacity.Line
	for _, h := range histories {
		if len(h.Scores) < minScores {
			continue
		}
		line := capacity.Line{Name: h.Day}
		for _, s := range h.Scores {
			line.Points = append(line.Points, capacity.Point{X: float64(s.Entry), Y: s.Score})
		}
		lines = append(lines, line)
	}
	return lines
}
