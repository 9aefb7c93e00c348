//! The ids of the RPCs that are under way here. A second RPC under the id of one that is would be a second copy
//! to the nodes, and could be given the first one's answer.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;

#[derive(Debug, Default)]
pub struct OpenIds(RefCell<BTreeSet<String>>);

/// An id, for as long as its RPC or one of its attempts is under way.
#[derive(Debug)]
pub struct OpenId {
    ids: Rc<OpenIds>,
    id: String,
}

impl OpenIds {
    /// None while the id is open.
    pub fn open(self: &Rc<Self>, id: String) -> Option<OpenId> {
        let new = self.0.borrow_mut().insert(id.clone());
        new.then(|| OpenId { ids: Rc::clone(self), id })
    }
}

impl Drop for OpenId {
    fn drop(&mut self) {
        self.ids.0.borrow_mut().remove(&self.id);
    }
}
