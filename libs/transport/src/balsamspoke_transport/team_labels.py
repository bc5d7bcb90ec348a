"""Labels of teams on metrics, so few that memory stays bounded."""

MAXIMUM_TEAM_LABELS = 200
OTHER_TEAMS = "(other)"
NO_TEAM = "(open)"


class TeamLabels:
    """Give each team its name as a label, and all beyond the maximum the same one."""

    def __init__(self):
        self._teams = set()

    def find(self, team):
        """Return the label of a team's name; empty stands for no team."""
        if not team:
            return NO_TEAM
        if team not in self._teams:
            if len(self._teams) >= MAXIMUM_TEAM_LABELS:
                return OTHER_TEAMS
            self._teams.add(team)
        return team
