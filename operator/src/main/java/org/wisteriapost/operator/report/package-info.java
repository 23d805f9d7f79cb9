/**
 * Reports for people: the service-level burn as text, JSON and a page with plots.
 */
package org.wisteriapost.operator.report;
