//! Agents of one service and the order in which they are asked for a piece.

use std::net::SocketAddr;

use pistachiolug_weights::order::Key;

/// Agent of the service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Internal address.
    pub address: SocketAddr,
    /// Region.
    pub region: String,
    /// Version that its engine holds, as far as the list says.
    pub version: Option<u64>,
}

/// Where a piece may come from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// Another agent.
    Agent(SocketAddr),
    /// The origin.
    Origin,
}

/// Members of the service, this agent among them.
#[derive(Debug, Clone, Default)]
pub struct Roster {
    /// Each with its key; sorted by address, without doubles.
    members: Vec<(Key, Member)>,
}

/// Agents that are asked for a piece before the origin.
const ASKED_MOST: usize = 3;

impl Roster {
    /// Builds a roster from members in any order.
    pub fn new(mut members: Vec<Member>) -> Self {
        members.sort_by_key(|member| member.address);
        members.dedup_by_key(|member| member.address);
        let keyed = members
            .into_iter()
            .map(|member| (Key::of(&member.address.to_string()), member));
        Self {
            members: keyed.collect(),
        }
    }

    /// Returns the members.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.iter().map(|(_, member)| member)
    }

    /// Returns the sources of a piece in the order in which `me` asks them.
    ///
    /// Members that hold the version already are asked first, near ones before others. Else one member, the same for
    /// all, reads the piece from the origin; one member of each other region reads it from there; all others ask the
    /// one of their own region. So one copy leaves the origin and one crosses each region's link. Those next in the
    /// order stand in for members that do not answer.
    ///
    /// # Arguments
    /// `home` is the origin's region, whose members read from it.
    pub fn sources(
        &self,
        me: &Member,
        piece: &str,
        version: u64,
        home: Option<&str>,
    ) -> Vec<Source> {
        let object = Key::of(piece);
        let holders = self.ranked(object, |member| {
            member.address != me.address && member.version == Some(version)
        });
        let (near, far): (Vec<&Member>, Vec<&Member>) = holders
            .into_iter()
            .partition(|member| member.region == me.region);
        let mut asked: Vec<&Member> = near.into_iter().chain(far).take(ASKED_MOST).collect();
        if asked.is_empty() {
            asked = self.before(me, object, home);
        }
        let agents = asked.iter().map(|member| Source::Agent(member.address));
        agents.chain([Source::Origin]).collect()
    }

    /// Returns the members that `me` waits for when nobody holds a piece yet: those before it in the order.
    fn before(&self, me: &Member, object: Key, home: Option<&str>) -> Vec<&Member> {
        let readers = self.ranked(object, |member| home.is_none_or(|home| member.region == home));
        let readers = if readers.is_empty() {
            self.ranked(object, |_| true)
        } else {
            readers
        };
        let near = self.ranked(object, |member| member.region == me.region);
        let is_first = |ranked: &[&Member]| {
            ranked
                .first()
                .is_none_or(|first| first.address == me.address)
        };
        let asked = if is_first(&near) { readers } else { near };
        let before = asked
            .into_iter()
            .take_while(|member| member.address != me.address);
        before.take(ASKED_MOST).collect()
    }

    /// Returns the position of `me` among the members for a version, from 0.
    pub fn position(&self, me: &Member, version: &str) -> usize {
        let ranked = self.ranked(Key::of(version), |_| true);
        let position = ranked.iter().position(|member| member.address == me.address);
        position.unwrap_or_default()
    }

    fn ranked(&self, object: Key, keep: impl Fn(&Member) -> bool) -> Vec<&Member> {
        let mut ranked: Vec<&(Key, Member)> = self
            .members
            .iter()
            .filter(|(_, member)| keep(member))
            .collect();
        ranked.sort_by_key(|(key, _)| std::cmp::Reverse(key.score(object)));
        ranked.into_iter().map(|(_, member)| member).collect()
    }
}
